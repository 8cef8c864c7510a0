#include <jujubequay/control/control_services.h>

#include <algorithm>
#include <optional>
#include <utility>

namespace Jujubequay {

namespace pb = jujubequay::pb;

namespace {

template<class Message>
std::optional<Message> parseMessage(const Bytes &bytes)
{
    Message message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return std::nullopt;
    }
    return message;
}

pb::CommandAnswer refusal(ResultCode code, std::string detail)
{
    pb::CommandAnswer answer;
    answer.set_result(static_cast<std::uint32_t>(code));
    answer.set_detail(std::move(detail));
    return answer;
}

std::set<std::string> agentHosts(const LeaseRegistry &registry)
{
    std::set<std::string> hosts;
    for (const pb::ServerEntry &entry : registry.servers()) {
        hosts.insert(entry.host());
    }
    return hosts;
}

}

std::uint64_t AcceptedStreams::add(std::shared_ptr<MessageStream> stream)
{
    m_streams[++m_lastId] = std::move(stream);
    return m_lastId;
}

void AcceptedStreams::remove(std::uint64_t id)
{
    m_streams.erase(id);
}

MessageStream *AcceptedStreams::find(std::uint64_t id) const
{
    const auto found = m_streams.find(id);
    return found == m_streams.end() ? nullptr : found->second.get();
}

bool AcceptedStreams::contains(const std::string &peer) const
{
    return std::any_of(m_streams.begin(), m_streams.end(), [&peer](const auto &entry) {
        return entry.second->peer().name == peer;
    });
}

bool isNameOnHost(const std::string &name, const std::string &peer)
{
    return name == peer || name.starts_with(peer + "/");
}

// Watchers

WatchService::WatchService(const Clock &clock, Logger &logger, ReplicaDriver &driver, WatchServer &server, FlowRecordStore &flowRecords)
    : m_clock(clock)
    , m_logger(logger)
    , m_driver(driver)
    , m_server(server)
    , m_flowRecords(flowRecords)
{
}

MessageStreamHandlers WatchService::accept(const std::shared_ptr<MessageStream> &stream)
{
    const std::uint64_t id = m_streams.add(stream);
    m_server.addWatcher(m_clock.now(), id);
    MessageStreamHandlers handlers;
    handlers.message = [this, id](const Bytes &bytes) {
        receive(id, bytes);
    };
    handlers.closed = [this, id](ResultCode) {
        m_server.removeWatcher(m_clock.now(), id);
        m_streams.remove(id);
        if (const auto agent = m_agents.extract(id)) {
            m_flowRecords.streamEnded(m_clock.now(), agent.mapped());
        }
    };
    return handlers;
}

void WatchService::receive(std::uint64_t id, const Bytes &bytes)
{
    MessageStream *stream = m_streams.find(id);
    auto message = parseMessage<pb::WatchUp>(bytes);
    if (stream == nullptr) {
        return;
    }
    const PeerIdentity peer = stream->peer();
    if (!message || (message->has_request() && !isNameOnHost(message->request().host(), peer.name))) {
        stream->close();
        return;
    }
    if (message->has_request()) {
        message->mutable_request()->set_role(peer.role);
        if (peer.role == "agent") {
            m_agents[id] = message->request().notice_address();
        }
    }
    if (message->has_flows()) {
        receiveFlowRecords(id, message->flows());
    }
    m_server.receive(m_clock.now(), id, *message);
}

void WatchService::receiveFlowRecords(std::uint64_t id, const pb::FlowRecords &records)
{
    const auto agent = m_agents.find(id);
    if (agent == m_agents.end()) {
        m_logger.warning("flow-records-refused", {{"stream", id}, {"cause", "the stream is not one of an agent"}});
        return;
    }
    handleFailure(
        [&]() -> Result<int> {
            BOOST_LEAF_CHECK(m_flowRecords.receive(agent->second, records));
            return 0;
        },
        [&](const Failure &failure) {
            m_logger.warning("flow-records-refused", {{"agent", agent->second}, {"cause", failure.detail}});
            return 0;
        });
}

void WatchService::tick()
{
    for (const WatcherId id : m_server.watchers()) {
        const MessageStream *stream = m_streams.find(id);
        m_server.setQueuedBytes(id, stream == nullptr ? 0 : stream->queuedBytes());
    }
    for (const WatchServerEffect &effect : m_server.pump(m_clock.now())) {
        if (const auto *send = std::get_if<SendToWatcher>(&effect)) {
            if (MessageStream *stream = m_streams.find(send->watcher)) {
                stream->send(*send->message);
            }
        } else if (const auto *close = std::get_if<CloseWatcher>(&effect)) {
            if (MessageStream *stream = m_streams.find(close->watcher)) {
                stream->close();
            }
        } else if (const auto *confirm = std::get_if<ConfirmState>(&effect)) {
            m_driver.confirmState([this, number = confirm->number](ResultCode code) {
                if (code == ResultCode::Ok) {
                    m_server.stateConfirmed(m_clock.now(), number);
                    tick(); // sends the state at once to watchers that wait for the confirmation
                } else {
                    m_server.stateNotConfirmed(number);
                }
            });
        }
    }
}

// Announcements

AnnounceService::AnnounceService(const Clock &clock, WallClock wallClock, const ControlState &state, LeaseRegistry &registry, Authorization authorization)
    : m_clock(clock)
    , m_wallClock(std::move(wallClock))
    , m_state(state)
    , m_registry(registry)
    , m_authorization(authorization)
{
}

MessageStreamHandlers AnnounceService::accept(const std::shared_ptr<MessageStream> &stream)
{
    const std::uint64_t id = m_streams.add(stream);
    MessageStreamHandlers handlers;
    handlers.message = [this, id](const Bytes &bytes) {
        receive(id, bytes);
    };
    handlers.closed = [this, id](ResultCode) {
        m_registry.sessionClosed(id);
        m_checkedEntries.erase(id);
        m_streams.remove(id);
    };
    return handlers;
}

void AnnounceService::receive(std::uint64_t id, const Bytes &bytes)
{
    MessageStream *stream = m_streams.find(id);
    if (stream == nullptr) {
        return;
    }
    const auto message = parseMessage<pb::AnnounceUp>(bytes);
    if (!message) {
        stream->close();
        return;
    }
    if (!isAllowed(id, stream->peer().name, message->server())) {
        pb::AnnounceDown refused;
        refused.set_result(static_cast<std::uint32_t>(ResultCode::NotAuthorized));
        stream->send(refused);
        return;
    }
    const std::uint64_t registryBefore = m_registry.sequence();
    const pb::AnnounceDown answer = m_registry.announce(m_clock.now(), m_wallClock(), id, message->server());
    const bool isHeartbeat = m_registry.sequence() == registryBefore;
    m_messages.addReceived(isHeartbeat ? MessageKind::Heartbeat : MessageKind::Announcement, framedBytes(*message));
    m_messages.addSent(MessageKind::AnnouncementReply, framedBytes(answer));
    stream->send(answer);
}

bool AnnounceService::isAllowed(std::uint64_t id, const std::string &peer, const pb::ServerEntry &entry)
{
    CheckedEntry &last = m_checkedEntries[id];
    const bool isChecked = last.revision == m_state.revision() && last.service == entry.service() && last.name == entry.name();
    if (m_authorization == Authorization::RequireBundle && !isChecked && !m_state.mayAnnounce(entry.service(), entry.name())) {
        return false;
    }
    last = {entry.service(), entry.name(), m_state.revision()};
    return isNameOnHost(entry.host(), peer);
}

const MessageAccount &AnnounceService::messages() const
{
    return m_messages;
}

// Registry exchange

RegistryExchange::RegistryExchange(
    const Clock &clock, MessageClient &client, std::mt19937_64 &random, LeaseRegistry &registry, ReportStore &reports, Options options)
    : m_clock(clock)
    , m_registry(registry)
    , m_reports(reports)
    , m_links(client,
              random,
              "/registry",
              {.message = [](const std::string &, const Bytes &) {},
               .streamOpened =
                   [this](const std::string &host) {
                       m_positions[host] = Position();
                   }})
    , m_options(std::move(options))
    , m_startedAt(clock.now())
{
}

MessageStreamHandlers RegistryExchange::accept(const std::shared_ptr<MessageStream> &stream)
{
    const std::string host = stream->peer().name;
    const std::uint64_t id = m_streams.add(stream);
    m_registry.peerConnected(host);
    m_links.hostConnected(host);
    MessageStreamHandlers handlers;
    handlers.message = [this, host](const Bytes &bytes) {
        receive(host, bytes);
    };
    handlers.closed = [this, id, host](ResultCode) {
        streamEnded(id, host);
    };
    return handlers;
}

void RegistryExchange::streamEnded(std::uint64_t id, const std::string &host)
{
    m_streams.remove(id);
    if (!m_streams.contains(host)) {
        m_registry.peerDisconnected(m_clock.now(), host);
    }
}

void RegistryExchange::receive(const std::string &host, const Bytes &bytes)
{
    const auto delta = parseMessage<pb::RegistryDelta>(bytes);
    if (!delta) {
        return;
    }
    m_messages.addReceived(*delta);
    const TimePoint now = m_clock.now();
    for (const pb::ServerEntry &entry : delta->servers()) {
        m_registry.merge(now, entry);
    }
    if (!delta->zone().empty()) {
        m_zones[host] = delta->zone();
    }
    for (const pb::HostInForce &report : delta->reports()) {
        if (report.control_host() == host) {
            m_reports.merge(now, report);
        }
    }
    m_isFilled = m_isFilled || (delta->filled() && !delta->more());
}

void RegistryExchange::setPeers(const std::map<std::string, HostAddress> &peers)
{
    m_links.setPeers(peers);
    for (const auto &[host, address] : peers) {
        if (!m_streams.contains(host)) {
            m_registry.peerDisconnected(m_clock.now(), host);
        }
    }
}

void RegistryExchange::tick()
{
    const TimePoint now = m_clock.now();
    m_isFilled = m_isFilled || now - m_startedAt >= m_options.fillTimeout;
    m_links.tick(now);
    if (now - m_lastExchange < m_options.interval) {
        return;
    }
    m_lastExchange = now;
    for (auto &[host, position] : m_positions) {
        if (m_links.isEstablished(host)) {
            sendChanges(host, position);
        }
    }
}

void RegistryExchange::sendChanges(const std::string &host, Position &position)
{
    std::vector<pb::RegistryDelta> deltas = m_registry.localChangesAfter(position.registry);
    const std::vector<pb::HostInForce> reports = m_reports.localChangesAfter(position.reports);
    if (deltas.empty() && !reports.empty()) {
        deltas.emplace_back();
    }
    if (deltas.empty()) {
        return;
    }
    deltas.back().mutable_reports()->Add(reports.begin(), reports.end());
    deltas.back().set_filled(m_isFilled);
    if (position.registry == 0) {
        deltas.front().set_zone(m_options.zone);
    }
    bool isSent = true;
    for (const pb::RegistryDelta &delta : deltas) {
        isSent = isSent && m_links.send(host, delta);
        if (isSent) {
            m_messages.addSent(delta);
        }
    }
    if (isSent) {
        position = {m_registry.sequence(), m_reports.sequence()};
    }
}

bool RegistryExchange::isFilled() const
{
    return m_isFilled;
}

const MessageAccount &RegistryExchange::messages() const
{
    return m_messages;
}

std::string RegistryExchange::zoneOf(const std::string &host) const
{
    const auto found = m_zones.find(host);
    return found == m_zones.end() ? std::string() : found->second;
}

bool RegistryExchange::isReachable(const std::string &host) const
{
    return m_streams.contains(host);
}

// Operators

OperatorService::OperatorService(
    const Clock &clock, Logger &logger, ReplicaDriver &driver, const LeaseRegistry &registry, const ReportStore &reports, Handlers handlers)
    : m_clock(clock)
    , m_logger(logger)
    , m_driver(driver)
    , m_registry(registry)
    , m_reports(reports)
    , m_handlers(std::move(handlers))
{
}

MessageStreamHandlers OperatorService::accept(const std::shared_ptr<MessageStream> &stream)
{
    const std::uint64_t id = m_streams.add(stream);
    MessageStreamHandlers handlers;
    handlers.message = [this, id](const Bytes &bytes) {
        receive(id, bytes);
    };
    handlers.closed = [this, id](ResultCode) {
        m_streams.remove(id);
    };
    return handlers;
}

void OperatorService::receive(std::uint64_t id, const Bytes &bytes)
{
    MessageStream *stream = m_streams.find(id);
    if (stream == nullptr) {
        return;
    }
    const auto message = parseMessage<pb::OperatorUp>(bytes);
    if (!message || message->kind_case() == pb::OperatorUp::KIND_NOT_SET) {
        stream->close();
        return;
    }
    if (message->has_command()) {
        execute(id, stream->peer().name, message->command());
        return;
    }
    m_driver.confirmState([this, id, request = message->status()](ResultCode code) {
        sendStatus(id, request, code);
    });
}

void OperatorService::execute(std::uint64_t id, const std::string &operatorName, const std::string &bytes)
{
    pb::Command command;
    if (!command.ParseFromString(bytes)) {
        answer(id, refusal(ResultCode::BadRequest, "the command cannot be parsed"));
        return;
    }
    m_logger.info("operator-command", {{"operator", operatorName}, {"operation", command.operation_id()}, {"kind", static_cast<int>(command.kind_case())}});
    if (command.has_membership()) {
        changeMembership(id, command.membership());
        return;
    }
    pb::LoggedCommand logged;
    logged.set_command(bytes);
    logged.set_operator_name(operatorName);
    if (command.has_retire_flow_key()) {
        const auto inUse = m_reports.flowKeysInUse(agentHosts(m_registry), m_driver.state().flowKeyNumbers());
        logged.mutable_flow_keys_in_use()->Add(inUse.begin(), inUse.end());
    }
    if (command.has_activate_flow_key()) {
        const auto lagging = m_reports.hostsLackingFlowKeys(m_driver.state().flowKeyRevision());
        logged.mutable_flow_keys_lagging()->Add(lagging.begin(), lagging.end());
    }
    m_driver.propose(logged, [this, id](const pb::CommandAnswer &result) {
        answer(id, result);
    });
}

void OperatorService::changeMembership(std::uint64_t id, const pb::ChangeMembership &command)
{
    const auto &members = m_driver.replica().membership().members();
    const auto member = std::find_if(members.begin(), members.end(), [&command](const pb::Member &candidate) {
        return command.remove() ? candidate.host() == command.host() : candidate.id() == command.disk_id();
    });
    const bool isMember = member != members.end();
    if (isMember != command.remove()) {
        // The change is already in effect; this is a resend.
        answer(id, pb::CommandAnswer());
        return;
    }
    Consensus::MembershipChange change;
    if (command.remove()) {
        change = Consensus::RemoveMember{member->id()};
    } else {
        change = Consensus::AddLearner{command.disk_id(), command.host(), command.address()};
    }
    m_driver.changeMembership(change, [this, id](const pb::CommandAnswer &result) {
        answer(id, result);
    });
}

void OperatorService::answer(std::uint64_t id, pb::CommandAnswer answer)
{
    if (answer.result() == static_cast<std::uint32_t>(ResultCode::NotLeader)) {
        answer.set_leader_address(m_handlers.leaderAddress());
    }
    if (MessageStream *stream = m_streams.find(id)) {
        pb::OperatorDown message;
        *message.mutable_answer() = std::move(answer);
        stream->send(message);
    }
}

// The status is also sent without a confirmation by a majority; its result then shows that it may be outdated.
void OperatorService::sendStatus(std::uint64_t id, const pb::StatusRequest &request, ResultCode result)
{
    MessageStream *stream = m_streams.find(id);
    if (stream == nullptr) {
        return;
    }
    pb::OperatorDown message;
    pb::StatusAnswer &status = *message.mutable_status();
    status.set_result(static_cast<std::uint32_t>(result));
    m_driver.state().fillStatus(status);
    if (!request.with_bundles()) {
        status.clear_bundles();
    }
    status.set_leader_address(m_handlers.leaderAddress());
    m_handlers.fillStatus(request, status);
    stream->send(message);
}

}
