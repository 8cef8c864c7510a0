#include <jujubequay/control/control_host_service.h>

#include <algorithm>

namespace Jujubequay {

namespace pb = jujubequay::pb;

namespace {

constexpr Duration promotionInterval = std::chrono::seconds(1);
/// A tick walks all entries: 4.8 ms with 33,000 of them, so 20 ticks a second would take a tenth of a core.
constexpr auto registryTickInterval = std::chrono::milliseconds(250);
constexpr std::uint64_t noReplyStream = 0;

}

ControlHostService::ControlHostService(ControlHostOptions options, Environment environment, Consensus::StoredState stored)
    : m_options(std::move(options))
    , m_environment(std::move(environment))
    , m_registry(m_options.host, m_options.epoch, m_options.lease)
    , m_reports(m_options.host, {})
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
                    [this](bool toleratesLoss) {
                        m_environment.logger.info("redundancy-changed", {{"tolerates_loss", toleratesLoss}});
                    },
                .failed = m_environment.failed})
    , m_watchServer(m_driver.state(), m_registry, m_reports, m_options.watch)
    , m_raftLinks(m_environment.client,
                  m_environment.random,
                  "/raft",
                  {.message =
                       [this](const std::string &host, const Bytes &bytes) {
                           receiveRaft(host, bytes, noReplyStream);
                       },
                   .opened = [](const std::string &) {}})
    , m_exchange(m_environment.clock, m_environment.client, m_environment.random, m_registry, m_reports, m_options.registryExchange)
    , m_watch(m_environment.clock, m_driver, m_watchServer)
    , m_announce(m_environment.clock, m_environment.wallClock, m_driver.state(), m_registry)
    , m_operators(m_environment.clock,
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
{
}

void ControlHostService::start()
{
    m_driver.start();
    updatePeers();
}

MessageStreamHandlers ControlHostService::accept(const std::string &path, const std::shared_ptr<MessageStream> &stream)
{
    const std::string role = stream->peer().role;
    if (path == "/raft" && role == "control") {
        return acceptRaft(stream);
    }
    if (path == "/registry" && role == "control") {
        return m_exchange.accept(stream);
    }
    if (path == "/watch" && (role == "balancer" || role == "agent")) {
        return m_watch.accept(stream);
    }
    if (path == "/announce" && role == "agent") {
        return m_announce.accept(stream);
    }
    if (path == "/operator" && role == "operator") {
        return m_operators.accept(stream);
    }
    m_environment.logger.warning("stream-refused", {{"path", path}, {"peer", stream->peer().name}, {"role", role}});
    return {};
}

void ControlHostService::tick()
{
    const TimePoint now = m_environment.clock.now();
    m_driver.tick();
    m_raftLinks.tick(now);
    // Without a leader this host may be the one that is cut off.
    m_registry.setIsolated(m_driver.replica().leader().empty());
    if (now - m_lastRegistryTick >= registryTickInterval) {
        m_lastRegistryTick = now;
        m_registry.tick(now);
        m_reports.tick(now);
    }
    m_exchange.tick();
    m_watchServer.setRegistryReady(m_exchange.isFilled());
    m_watch.tick();
    if (now - m_lastPromotion >= promotionInterval) {
        m_lastPromotion = now;
        updatePeers();
        promoteLearners();
    }
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

// ---- Replica messages ----

MessageStreamHandlers ControlHostService::acceptRaft(const std::shared_ptr<MessageStream> &stream)
{
    const std::string host = stream->peer().name;
    const std::uint64_t id = m_raftStreams.add(stream);
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
    const pb::Member *member = Consensus::findMember(m_driver.replica().membership(), message.from());
    if (member != nullptr && member->host() != host) {
        m_environment.logger.warning("replica-message-refused", {{"peer", host}, {"member", member->host()}});
        return;
    }
    // A new learner does not know the address of the leader yet and answers on the stream of the leader.
    if (replyStream != noReplyStream) {
        m_replyStreams[message.from()] = replyStream;
    }
    m_driver.step(message);
}

void ControlHostService::sendRaft(const pb::ReplicaMessage &message)
{
    const pb::Member *member = Consensus::findMember(m_driver.replica().membership(), message.to());
    if (member != nullptr && m_raftLinks.send(member->host(), message)) {
        return;
    }
    const auto reply = m_replyStreams.find(message.to());
    MessageStream *stream = reply == m_replyStreams.end() ? nullptr : m_raftStreams.find(reply->second);
    if (stream != nullptr) {
        stream->send(message);
    }
}

// ---- Membership ----

void ControlHostService::updatePeers()
{
    std::map<std::string, HostAddress> peers;
    for (const pb::Member &member : m_driver.replica().membership().members()) {
        const auto address = parseHostAddress(member.address());
        if (member.id() != m_driver.replica().id() && address) {
            peers[member.host()] = *address;
        }
    }
    m_raftLinks.setPeers(peers);
    m_exchange.setPeers(peers);
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
        if (!isReady || !m_promoting.insert(member.id()).second) {
            continue;
        }
        m_driver.changeMembership(Consensus::PromoteLearner{member.id()}, [this, id = member.id(), host = member.host()](const pb::CommandAnswer &answer) {
            m_promoting.erase(id);
            m_environment.logger.info("learner-promoted", {{"host", host}, {"result", resultName(static_cast<ResultCode>(answer.result()))}});
        });
    }
}

// ---- Status ----

std::string ControlHostService::leaderAddress() const
{
    const pb::Member *leader = Consensus::findMember(m_driver.replica().membership(), m_driver.replica().leader());
    return leader == nullptr ? std::string() : leader->address();
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
    status.set_reachable(isSelf || m_exchange.isReachable(member.host()));
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
