#include <jujubequay/control/control_host_service.h>

#include <fmt/format.h>

#include <algorithm>

namespace Jujubequay {

namespace pb = jujubequay::pb;

namespace {

constexpr Duration promotionInterval = std::chrono::seconds(1);
/// A tick visits all entries, which takes 4.8 ms with 33,000 of them; 20 ticks a second would use a tenth of a core.
constexpr auto registryTickInterval = std::chrono::milliseconds(250);
constexpr std::uint64_t noReplyStream = 0;
/// Limits start notices to 4,000 a second, so that a restart in a large network does not saturate the link.
constexpr std::size_t startNoticesPerTick = 200;
/// Time between log lines while there is no leader.
constexpr auto missingLeaderReportInterval = std::chrono::seconds(5);
/// A member without a leader for this long may have been removed from the group while it was partitioned.
constexpr auto leaderContactTimeout = std::chrono::seconds(2);

pb::JoinRequest localJoinRequest(const std::string &diskId, const ControlHostOptions &options)
{
    pb::JoinRequest request;
    request.set_disk_id(diskId);
    request.set_host(options.host);
    request.set_address(options.address);
    return request;
}

}

ControlHostService::ControlHostService(ControlHostOptions options, Environment environment, Consensus::StoredState stored)
    : m_options(std::move(options))
    , m_environment(std::move(environment))
    , m_registry(m_options.host, m_options.epoch, m_options.lease)
    , m_reports(m_options.host, {})
    , m_flowRecords({})
    , m_driver(m_environment.clock,
               m_environment.storage,
               std::move(stored),
               m_options.replica,
               m_environment.random,
               {.send =
                    [this](const pb::ReplicaMessage &message) {
                        sendRaft(message);
                    },
                .membershipChanged =
                    [this] {
                        updatePeers();
                    },
                .redundancyChanged =
                    [this](bool toleratesVoterLoss) {
                        m_environment.logger.info("redundancy-changed", {{"tolerates_loss", toleratesVoterLoss}});
                    },
                .leadershipChanged =
                    [this](std::uint64_t term, bool isLeader) {
                        m_environment.logger.info(isLeader ? "leadership-gained" : "leadership-lost", {{"term", term}});
                    },
                .voterDiskLost =
                    [this](const Consensus::VoterDiskLost &lost) {
                        m_environment.logger.warning("voter-disk-lost", {{"disk", lost.id}, {"host", lost.host}});
                    },
                .storageFailed = m_environment.storageFailed})
    , m_watchServer(m_driver.state(), m_registry, m_reports, m_options.watch)
    , m_raftLinks(m_environment.client,
                  m_environment.random,
                  "/raft",
                  {.message =
                       [this](const std::string &host, const Bytes &bytes) {
                           receiveRaft(host, bytes, noReplyStream);
                       },
                   .streamOpened = [](const std::string &) {}})
    , m_registryExchange(m_environment.clock,
                         m_environment.client,
                         m_environment.random,
                         m_registry,
                         m_reports,
                         RegistryExchange::Options{m_options.registryExchangeInterval, m_options.registryFillTimeout, m_options.zone})
    , m_watchService(m_environment.clock, m_environment.logger, m_driver, m_watchServer, m_flowRecords)
    , m_announceService(m_environment.clock,
                        m_environment.wallClock,
                        m_driver.state(),
                        m_registry,
                        m_options.acceptsAnyService ? AnnounceService::Authorization::AnyService : AnnounceService::Authorization::RequireBundle)
    , m_operatorService(m_environment.clock,
                        m_environment.logger,
                        m_driver,
                        m_registry,
                        m_reports,
                        {.leaderAddress =
                             [this] {
                                 return leaderAddress();
                             },
                         .fillStatus =
                             [this](const pb::StatusRequest &request, pb::StatusAnswer &status) {
                                 fillStatus(request, status);
                             }})
    , m_joinService(m_environment.clock,
                    m_environment.logger,
                    m_environment.client,
                    localJoinRequest(m_driver.replica().id(), m_options),
                    {.leaderAddress =
                         [this] {
                             return leaderAddress();
                         },
                     .joinRequested =
                         [this](const pb::JoinRequest &request) {
                             handleJoin(request);
                         }})
    , m_knownHostsReconciler({})
    , m_startedAt(m_environment.clock.now())
    , m_leaderSeenAt(m_startedAt)
{
    if (m_options.membershipReconciler) {
        m_membershipReconciler.emplace(*m_options.membershipReconciler);
    }
}

void ControlHostService::start()
{
    m_driver.start();
    updatePeers();
}

MessageStreamHandlers ControlHostService::accept(const std::string &path, const std::shared_ptr<MessageStream> &stream)
{
    const std::string role = stream->peer().role;
    // Announcements to a host outside the group would reach no other host, so agents and watchers must use members.
    const bool isMember = Consensus::findMember(m_driver.replica().membership(), m_driver.replica().id()) != nullptr;
    if (m_membershipReconciler && !isMember && (path == "/announce" || path == "/watch")) {
        return {};
    }
    if (path == "/raft" && role == "control") {
        return acceptRaft(stream);
    }
    if (path == "/registry" && role == "control") {
        return m_registryExchange.accept(stream);
    }
    if (path == "/join" && role == "control" && m_membershipReconciler) {
        return m_joinService.accept(stream);
    }
    if (path == "/watch" && (role == "balancer" || role == "agent")) {
        return m_watchService.accept(stream);
    }
    if (path == "/announce" && role == "agent") {
        return m_announceService.accept(stream);
    }
    if (path == "/operator" && role == "operator") {
        return m_operatorService.accept(stream);
    }
    m_environment.logger.warning("stream-refused", {{"path", path}, {"peer", stream->peer().name}, {"role", role}});
    return {};
}

void ControlHostService::tick()
{
    const TimePoint now = m_environment.clock.now();
    m_driver.tick();
    m_raftLinks.tick(now);
    // Without a leader this host may be partitioned from the majority.
    m_registry.setIsolated(m_driver.replica().leader().empty());
    if (now - m_lastRegistryTick >= registryTickInterval) {
        m_lastRegistryTick = now;
        m_registry.tick(now);
        m_reports.tick(now);
    }
    m_registryExchange.tick();
    m_watchServer.setRegistryFilled(m_registryExchange.isFilled());
    m_watchServer.setRegistryStable(isRegistryStable());
    updateRegistryComplete();
    m_watchServer.setRegistryComplete(m_isRegistryComplete);
    m_watchServer.setStarting(!m_driver.replica().hasObservedLeader() && now - m_startedAt < m_options.startupGrace);
    m_watchService.tick();
    if (now - m_lastPromotion >= promotionInterval) {
        m_lastPromotion = now;
        updatePeers();
        if (!m_membershipReconciler) {
            promoteLearners();
        }
    }
    if (m_membershipReconciler) {
        if (m_isLeaving) {
            announceLeaveToLeader();
        } else {
            joinIfNeeded();
        }
        reconcileMembership();
        reconcileKnownHosts();
        sendStartNotices();
    }
    sendEndedFlows();
    reportMissingLeader();
}

TimePoint ControlHostService::nextTick() const
{
    return std::min(m_environment.clock.now() + tickInterval, m_driver.replica().nextTick());
}

const ReplicaDriver &ControlHostService::driver() const
{
    return m_driver;
}

const LeaseRegistry &ControlHostService::registry() const
{
    return m_registry;
}

const WatchServer &ControlHostService::watchServer() const
{
    return m_watchServer;
}

MessageAccount ControlHostService::messages() const
{
    MessageAccount total = m_messages;
    total += m_watchServer.messages();
    total += m_announceService.messages();
    total += m_registryExchange.messages();
    return total;
}

void ControlHostService::countNotice(MessageKind kind, std::size_t bytes)
{
    m_messages.addSent(kind, bytes);
}

// Replica messages

MessageStreamHandlers ControlHostService::acceptRaft(const std::shared_ptr<MessageStream> &stream)
{
    const std::string host = stream->peer().name;
    const std::uint64_t id = m_raftStreams.add(stream);
    m_raftLinks.hostConnected(host);
    MessageStreamHandlers handlers;
    handlers.message = [this, host, id](const Bytes &bytes) {
        receiveRaft(host, bytes, id);
    };
    handlers.closed = [this, id](ResultCode) {
        m_raftStreams.remove(id);
        std::erase_if(m_replyStreams, [id](const auto &entry) {
            return entry.second == id;
        });
    };
    return handlers;
}

void ControlHostService::receiveRaft(const std::string &host, const Bytes &bytes, std::uint64_t replyStream)
{
    pb::ReplicaMessage message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return;
    }
    m_messages.addReceived(kindOf(message), framedBytes(message));
    const pb::Membership members = m_driver.replica().activeMembers();
    // Only the host of a disk can report that it has another one now.
    const std::string &sender = message.has_disk_replaced() ? message.disk_replaced().lost_id() : message.from();
    const pb::Member *member = Consensus::findMember(members, sender);
    if (member != nullptr && member->host() != host) {
        m_environment.logger.warning("replica-message-refused", {{"peer", host}, {"member", member->host()}});
        return;
    }
    // A new learner does not have the address of the leader yet and answers on the stream that the leader has opened.
    if (replyStream != noReplyStream) {
        m_replyStreams[message.from()] = replyStream;
    }
    m_driver.step(message);
}

void ControlHostService::sendRaft(const pb::ReplicaMessage &message)
{
    m_messages.addSent(kindOf(message), framedBytes(message));
    const pb::Membership members = m_driver.replica().activeMembers();
    const pb::Member *member = Consensus::findMember(members, message.to());
    if (member != nullptr && m_raftLinks.send(member->host(), message) && m_raftLinks.isEstablished(member->host())) {
        return;
    }
    // A connection attempt to a host that was down may hang while the host itself has already opened a stream to this one.
    const auto reply = m_replyStreams.find(message.to());
    MessageStream *stream = reply == m_replyStreams.end() ? nullptr : m_raftStreams.find(reply->second);
    if (stream != nullptr) {
        stream->send(message);
    }
}

// Membership

void ControlHostService::updatePeers()
{
    std::map<std::string, HostAddress> peers;
    const pb::Membership active = m_driver.replica().activeMembers();
    for (const pb::Member &member : active.members()) {
        const auto address = parseHostAddress(member.address());
        if (member.id() != m_driver.replica().id() && address) {
            peers[member.host()] = *address;
        }
    }
    m_raftLinks.setPeers(peers);
    m_registryExchange.setPeers(peers);
    std::vector<ControlHostLocation> locations;
    for (const pb::Member &member : m_driver.replica().membership().members()) {
        const bool isSelf = member.id() == m_driver.replica().id();
        locations.push_back({member.address(), isSelf ? m_options.zone : m_registryExchange.zoneOf(member.host())});
    }
    m_watchServer.setControlHosts(std::move(locations));
}

void ControlHostService::promoteLearners()
{
    const Consensus::Replica &replica = m_driver.replica();
    if (replica.role() != Consensus::Role::Leader) {
        return;
    }
    const pb::Membership membership = replica.membership();
    for (const pb::Member &member : membership.members()) {
        const bool isReady = !member.voter() && replica.isCaughtUp(m_environment.clock.now(), member.id());
        if (!isReady || !m_pendingPromotions.insert(member.id()).second) {
            continue;
        }
        m_driver.changeMembership(Consensus::PromoteLearner{member.id()}, [this, id = member.id(), host = member.host()](const pb::CommandAnswer &answer) {
            m_pendingPromotions.erase(id);
            m_environment.logger.info("learner-promoted", {{"host", host}, {"result", resultName(static_cast<ResultCode>(answer.result()))}});
        });
    }
}

void ControlHostService::reconcileMembership()
{
    const Consensus::Replica &replica = m_driver.replica();
    const TimePoint now = m_environment.clock.now();
    if (replica.role() != Consensus::Role::Leader) {
        return;
    }
    if (m_leaderTerm != replica.term()) {
        m_leaderTerm = replica.term();
        m_leaderSince = now;
    }
    if (m_isMembershipChangePending) {
        return;
    }
    const auto change = m_membershipReconciler->nextChange(now, memberStatus(now));
    if (!change) {
        return;
    }
    m_isMembershipChangePending = true;
    m_driver.changeMembership(*change, [this, change = *change](const pb::CommandAnswer &answer) {
        m_isMembershipChangePending = false;
        const auto result = static_cast<ResultCode>(answer.result());
        m_environment.logger.info("membership-change",
                                  {{"change", describe(change)},
                                   {"voters", Consensus::voterCount(m_driver.replica().membership())},
                                   {"result", resultName(result)},
                                   {"detail", answer.detail()}});
    });
}

void ControlHostService::reportMissingLeader()
{
    const Consensus::Replica &replica = m_driver.replica();
    const TimePoint now = m_environment.clock.now();
    if (!replica.leader().empty()) {
        m_leaderSeenAt = now;
    }
    const Duration timeWithoutLeader = now - m_leaderSeenAt;
    if (timeWithoutLeader < leaderContactTimeout || now - m_missingLeaderReportedAt < missingLeaderReportInterval) {
        return;
    }
    m_missingLeaderReportedAt = now;
    std::string unreachable;
    for (const pb::Member &member : replica.membership().members()) {
        if (member.voter() && member.id() != replica.id() && !m_registryExchange.isReachable(member.host())) {
            unreachable += (unreachable.empty() ? "" : ",") + member.host();
        }
    }
    m_environment.logger.warning("no-leader",
                                 {{"for_ms", std::chrono::duration_cast<std::chrono::milliseconds>(timeWithoutLeader).count()},
                                  {"member", Consensus::findMember(replica.membership(), replica.id()) != nullptr},
                                  {"voters", Consensus::voterCount(replica.membership())},
                                  {"unreachable", unreachable}});
}

std::vector<MemberStatus> ControlHostService::memberStatus(TimePoint now) const
{
    const Consensus::Replica &replica = m_driver.replica();
    std::vector<MemberStatus> members;
    for (const pb::Member &member : replica.membership().members()) {
        const bool isSelf = member.id() == replica.id();
        const TimePoint lastMessageAt = isSelf ? now : replica.lastMessageAt(member.id()).value_or(now);
        members.push_back({member.id(), member.host(), member.voter(), isSelf, replica.isCaughtUp(now, member.id()), now - lastMessageAt});
    }
    return members;
}

bool ControlHostService::isRegistryStable()
{
    if (m_options.registryStableTime == Duration::zero() || m_registryExchange.isFilled()) {
        return false;
    }
    // Servers that are already in the registry keep sending heartbeats; only new servers restart the wait.
    const TimePoint now = m_environment.clock.now();
    const std::size_t servers = m_registry.serverCount();
    if (servers != m_registryServerCount) {
        m_registryServerCount = servers;
        m_registryChangedAt = now;
    }
    return servers > 0 && now - m_registryChangedAt >= m_options.registryStableTime;
}

bool ControlHostService::isRegistryComplete() const
{
    return m_isRegistryComplete;
}

void ControlHostService::updateRegistryComplete()
{
    if (m_isRegistryComplete) {
        return;
    }
    std::size_t expectedServers = 0;
    std::vector<std::string> missing;
    for (const auto &[address, host] : m_driver.state().knownHosts()) {
        expectedServers += host.has_server() ? 1 : 0;
        if (host.has_server() && m_registry.find(address) == nullptr) {
            missing.push_back(address);
        }
    }
    m_isRegistryComplete = m_registryExchange.isFilled() || (expectedServers > 0 && missing.empty());
    if (m_isRegistryComplete) {
        m_environment.logger.info(
            "registry-complete",
            {{"servers", expectedServers}, {"missing", missing.size()}, {"first_missing", missing.empty() ? std::string() : missing.front()}});
    }
}

// Known hosts

void ControlHostService::reconcileKnownHosts()
{
    const TimePoint now = m_environment.clock.now();
    if (m_driver.replica().role() != Consensus::Role::Leader) {
        m_knownHostsReconciler.reset();
        return;
    }
    if (m_isKnownHostsChangePending || !m_registryExchange.isFilled() || !m_knownHostsReconciler.isDue(now)) {
        return;
    }
    KnownHosts current;
    for (const pb::HostInForce &report : m_reports.reports(now)) {
        if (report.connected() && !report.notice_address().empty()) {
            pb::KnownHost &host = current[report.notice_address()];
            host.set_address(report.notice_address());
        }
    }
    for (const pb::ServerEntry &server : m_registry.servers()) {
        pb::KnownHost &host = current[server.name()];
        host.set_address(server.name());
        host.set_has_server(true);
    }
    std::set<std::string> leftServers;
    for (const auto &entry : m_driver.state().knownHosts()) {
        const pb::ServerEntry *server = m_registry.find(entry.first);
        if (server != nullptr && server->state() == pb::SERVER_STATE_LEFT) {
            leftServers.insert(entry.first);
        }
    }
    if (const auto change = m_knownHostsReconciler.nextChange(now, m_driver.state().knownHosts(), current, leftServers)) {
        proposeKnownHosts(*change);
    }
}

pb::LoggedCommand ControlHostService::localCommand(std::string_view kind, pb::Command command)
{
    std::mt19937_64 &random = m_environment.random;
    command.set_operation_id(fmt::format("{}-{:016x}{:016x}", kind, random(), random()));
    command.set_operations_seen(m_driver.state().operationsApplied());
    pb::LoggedCommand logged;
    logged.set_command(command.SerializeAsString());
    return logged;
}

void ControlHostService::proposeKnownHosts(const pb::ChangeKnownHosts &change)
{
    pb::Command command;
    *command.mutable_change_known_hosts() = change;
    m_isKnownHostsChangePending = true;
    const pb::LoggedCommand logged = localCommand("hosts", std::move(command));
    m_messages.addSent(MessageKind::KnownHosts, logged.ByteSizeLong());
    m_driver.propose(logged, [this, added = change.added_size(), removed = change.removed_size()](const pb::CommandAnswer &answer) {
        m_isKnownHostsChangePending = false;
        m_environment.logger.info("known-hosts-change",
                                  {{"added", added},
                                   {"removed", removed},
                                   {"known", m_driver.state().knownHosts().size()},
                                   {"result", resultName(static_cast<ResultCode>(answer.result()))}});
    });
}

// Balancers and agents that have restarted too have only the configured control hosts, and wait between connection attempts.
void ControlHostService::sendStartNotices()
{
    const TimePoint now = m_environment.clock.now();
    const bool hasConfig = m_driver.state().revision() > 0;
    if (!m_environment.sendStartNotice || !hasConfig || now - m_startedAt > m_options.startupGrace) {
        return;
    }
    std::set<std::string> connected;
    for (const pb::HostInForce &report : m_reports.reports(now)) {
        if (report.connected()) {
            connected.insert(report.notice_address());
        }
    }
    const KnownHosts &known = m_driver.state().knownHosts();
    auto next = known.upper_bound(m_lastNotified);
    const std::size_t count = std::min(known.size(), startNoticesPerTick);
    for (std::size_t sent = 0; sent < count; ++sent) {
        next = next == known.end() ? known.begin() : next;
        const auto address = parseHostAddress(next->first);
        if (address && !connected.contains(next->first)) {
            m_environment.sendStartNotice(*address);
        }
        m_lastNotified = next->first;
        ++next;
    }
}

void ControlHostService::sendEndedFlows()
{
    for (const EndedFlows &ended : m_flowRecords.tick(m_environment.clock.now(), m_registry)) {
        m_environment.logger.info("flows-ended",
                                  {{"agent", toString(ended.agent)}, {"incarnation", ended.flows.incarnation()}, {"flows", ended.flows.open_size()}});
        if (m_environment.sendEndedFlows) {
            m_environment.sendEndedFlows(ended);
        }
    }
}

FlowRecordStore &ControlHostService::flowRecords()
{
    return m_flowRecords;
}

// Joining

void ControlHostService::joinIfNeeded()
{
    const Consensus::Replica &replica = m_driver.replica();
    const TimePoint now = m_environment.clock.now();
    const bool isMember = Consensus::findMember(replica.membership(), replica.id()) != nullptr;
    if (!replica.leader().empty()) {
        m_lastLeaderContact = now;
    }
    if (isMember && now - m_lastLeaderContact < leaderContactTimeout) {
        return;
    }
    std::vector<HostAddress> hosts;
    for (const pb::Member &member : replica.membership().members()) {
        const auto address = parseHostAddress(member.address());
        if (member.id() != replica.id() && address) {
            hosts.push_back(*address);
        }
    }
    for (const HostAddress &seed : m_seeds) {
        const bool isNewHost = toString(seed) != m_options.address && std::find(hosts.begin(), hosts.end(), seed) == hosts.end();
        if (isNewHost) {
            hosts.push_back(seed);
        }
    }
    m_joinService.requestJoin(hosts);
}

void ControlHostService::handleJoin(const pb::JoinRequest &request)
{
    if (m_driver.replica().role() != Consensus::Role::Leader) {
        return;
    }
    if (request.leaving()) {
        m_membershipReconciler->leaveAnnounced(m_environment.clock.now(), request.disk_id());
    } else {
        m_membershipReconciler->joinRequested(m_environment.clock.now(), {request.disk_id(), request.host(), request.address()});
    }
}

void ControlHostService::setSeeds(std::vector<HostAddress> seeds)
{
    m_seeds = std::move(seeds);
}

void ControlHostService::announceLeave()
{
    m_isLeaving = m_membershipReconciler.has_value();
    if (m_isLeaving) {
        announceLeaveToLeader();
    }
}

void ControlHostService::announceLeaveToLeader()
{
    const Consensus::Replica &replica = m_driver.replica();
    const auto leader = parseHostAddress(leaderAddress());
    if (replica.role() == Consensus::Role::Leader) {
        m_membershipReconciler->leaveAnnounced(m_environment.clock.now(), replica.id());
    } else if (leader) {
        m_joinService.announceLeave(*leader);
    }
}

bool ControlHostService::isLeaving() const
{
    if (!m_isLeaving || !Consensus::isVoter(m_driver.replica().membership(), m_driver.replica().id())) {
        return false;
    }
    if (m_driver.replica().role() == Consensus::Role::Leader) {
        return m_membershipReconciler->hasReplacement(memberStatus(m_environment.clock.now()));
    }
    return !m_joinService.isLeaveAcknowledged();
}

// Routes

// With fewer voters than configured, an accepted change could be lost although no more disks fail than are tolerated.
bool ControlHostService::hasEnoughVoters() const
{
    const bool isWaitingForVoters = m_environment.clock.now() - m_leaderSince < m_options.voterWaitTimeout;
    return !m_membershipReconciler || !isWaitingForVoters || Consensus::voterCount(m_driver.replica().membership()) >= m_options.membershipReconciler->voters;
}

void ControlHostService::replaceRoutes(const pb::ReplaceRoutes &change, std::function<void(const RouteChangeAnswer &)> handler)
{
    const bool isLeader = m_driver.replica().role() == Consensus::Role::Leader;
    if (isLeader && !hasEnoughVoters()) {
        handler({ResultCode::NoQuorum, "fewer control hosts are voters than configured", {}});
        return;
    }
    pb::Command command;
    *command.mutable_replace_routes() = change;
    m_driver.propose(localCommand("routes", std::move(command)),
                     [this, version = change.table().version(), handler = std::move(handler)](const pb::CommandAnswer &answer) {
                         const auto result = static_cast<ResultCode>(answer.result());
                         std::string leaderHost;
                         if (result == ResultCode::NotLeader) {
                             const pb::Member *member = leader();
                             leaderHost = member == nullptr ? std::string() : member->host();
                         }
                         m_environment.logger.info("route-change",
                                                   {{"version", version},
                                                    {"in_force", m_driver.state().routes().table().version()},
                                                    {"result", resultName(result)},
                                                    {"detail", answer.detail()},
                                                    {"leader", leaderHost}});
                         handler({result, answer.detail(), leaderHost});
                     });
}

void ControlHostService::confirmRoutes(std::function<void(ResultCode)> handler)
{
    m_driver.confirmState(std::move(handler));
}

// Status

const pb::Member *ControlHostService::leader() const
{
    return Consensus::findMember(m_driver.replica().membership(), m_driver.replica().leader());
}

std::string ControlHostService::leaderAddress() const
{
    const pb::Member *member = leader();
    return member == nullptr ? std::string() : member->address();
}

void ControlHostService::fillStatus(const pb::StatusRequest &request, pb::StatusAnswer &status) const
{
    status.set_answered_by(m_options.host);
    if (request.with_servers()) {
        for (pb::ServerEntry &entry : m_registry.servers()) {
            *status.add_servers() = std::move(entry);
        }
    }
    for (pb::HostInForce &report : m_reports.reports(m_environment.clock.now())) {
        *status.add_hosts() = std::move(report);
    }
    for (const pb::Member &member : m_driver.replica().membership().members()) {
        *status.add_control_hosts() = statusOf(member);
    }
}

pb::ControlHostStatus ControlHostService::statusOf(const pb::Member &member) const
{
    const Consensus::Replica &replica = m_driver.replica();
    const bool isSelf = member.id() == replica.id();
    const bool isLeader = replica.role() == Consensus::Role::Leader;
    const bool isCurrent = isSelf || !isLeader || replica.isCaughtUp(m_environment.clock.now(), member.id());
    pb::ControlHostStatus status;
    status.set_host(member.host());
    status.set_address(member.address());
    status.set_voter(member.voter());
    status.set_leader(member.id() == replica.leader());
    status.set_reachable(isSelf || m_registryExchange.isReachable(member.host()));
    status.set_log_index(isSelf ? replica.appliedIndex() : 0);
    status.set_disk_id(member.id());
    if (!status.reachable()) {
        status.set_repair("unreachable");
    } else {
        status.set_repair(member.voter() && isCurrent ? "none" : "catching up");
    }
    return status;
}

}
