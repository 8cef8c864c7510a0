#pragma once

#include <jujubequay/agent/request_broker.h>
#include <jujubequay/quic/quic_server.h>

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Jujubequay {

/// Body of the answer that the fake backend server sends for a path.
inline Bytes expectedBody(const std::string &path)
{
    Bytes body;
    for (std::size_t index = 0; index < 2'000 + path.size() * 37; ++index) {
        body.push_back(static_cast<std::uint8_t>(path[index % path.size()] + static_cast<char>(index / path.size())));
    }
    return body;
}

/// Fake backend server. Counts the executions of each path, answers after a random time and refuses one request in 20. Feeds send one
/// record every 40 ms, with positions 1, 2, ...
class FakeBackend final : public BackendPort
{
public:
    FakeBackend(std::map<std::string, int> &executions, std::mt19937_64 &random, const TimePoint &now)
        : m_executions(executions)
        , m_random(random)
        , m_now(now)
    {
    }

    void start(BackendRequest request) override
    {
        const bool isRefused = request.workClass != WorkClass::Feed && m_random() % 20 == 0;
        if (isRefused) {
            m_events.emplace(m_now, BackendFailed{request.call, true, "refused"});
            return;
        }
        ++m_executions[request.path];
        m_runningCalls.insert(request.call);
        const TimePoint answerAt = m_now + std::chrono::milliseconds(1 + m_random() % 120);
        m_events.emplace(answerAt, BackendResponseStarted{request.call, 200});
        if (request.workClass == WorkClass::Feed) {
            m_events.emplace(answerAt, feedPart(request.call, request.resumePosition + 1));
            return;
        }
        m_events.emplace(answerAt, BackendData{request.call, expectedBody(request.path), 0});
        m_events.emplace(answerAt, BackendEnded{request.call});
    }

    void cancel(std::uint64_t call) override
    {
        if (m_runningCalls.erase(call) > 0) {
            m_events.emplace(m_now, BackendFailed{call, false, "cancelled"});
        }
    }

    void consume(std::uint64_t, std::size_t) override { }

    std::optional<TimePoint> nextEventTime() const
    {
        return m_events.empty() ? std::nullopt : std::optional(m_events.begin()->first);
    }

    /// Returns the next event that is due.
    std::optional<BackendEvent> takeDueEvent()
    {
        if (m_events.empty() || m_events.begin()->first > m_now) {
            return std::nullopt;
        }
        BackendEvent event = std::move(m_events.extract(m_events.begin()).mapped());
        if (const BackendFailed *failed = std::get_if<BackendFailed>(&event)) {
            m_runningCalls.erase(failed->call);
            return event;
        }
        const std::uint64_t call = std::visit(
            [](const auto &backendEvent) {
                return backendEvent.call;
            },
            event);
        if (!m_runningCalls.contains(call)) {
            return takeDueEvent();
        }
        if (const BackendData *data = std::get_if<BackendData>(&event); data != nullptr && data->position > 0) {
            m_events.emplace(m_now + std::chrono::milliseconds(40), feedPart(call, data->position + 1));
        }
        if (std::holds_alternative<BackendEnded>(event)) {
            m_runningCalls.erase(call);
        }
        return event;
    }

private:
    static BackendData feedPart(std::uint64_t call, std::uint64_t position)
    {
        const std::string text = std::to_string(position);
        return {call, Bytes(text.begin(), text.end()), position};
    }

    std::map<std::string, int> &m_executions;
    std::mt19937_64 &m_random;
    const TimePoint &m_now;
    std::multimap<TimePoint, BackendEvent> m_events;
    std::set<std::uint64_t> m_runningCalls;
};

/// An agent with a QUIC server, a request broker and a fake backend server, driven by simulated time.
class FakeAgent final
    : public QuicServerSink
    , public FlowPort
{
public:
    using Send = std::function<void(const HostAddress &, std::span<const std::uint8_t>)>;

    FakeAgent(FlowTarget target,
              std::shared_ptr<const TlsCredentials> credentials,
              std::map<std::string, int> &executions,
              std::mt19937_64 &random,
              const TimePoint &now,
              Send send)
        : m_target(target)
        , m_now(now)
        , m_send(std::move(send))
        , m_backend(executions, random, now)
        , m_server(
              {.idleTimeout = std::chrono::seconds(8), .keepAlive = std::chrono::seconds(2)},
              std::move(credentials),
              [this] {
                  return makeIdentifier();
              },
              *this,
              random)
        , m_broker(
              target.incarnation,
              {},
              *this,
              m_backend,
              [this] {
                  return makeIdentifier();
              },
              [](const RequestReport &) {},
              random,
              now)
    {
    }

    static FlowKeySet testKeys()
    {
        FlowKeySet keys;
        keys.set(1, FlowSecret{9});
        keys.activate(1);
        return keys;
    }

    void receive(const HostAddress &caller, std::span<const std::uint8_t> datagram)
    {
        m_server.receive(m_now, caller, datagram);
    }

    TimePoint nextTimeout() const
    {
        return std::min({m_server.nextTimeout().value_or(TimePoint::max()),
                         m_broker.nextTimeout().value_or(TimePoint::max()),
                         m_backend.nextEventTime().value_or(TimePoint::max())});
    }

    /// Handles everything that is due now.
    void run()
    {
        m_server.handleTimeout(m_now);
        m_broker.tick(m_now);
        while (const auto event = m_backend.takeDueEvent()) {
            m_broker.handleBackendEvent(m_now, *event);
        }
        for (QuicEvents events = m_server.takeEvents(); !events.empty(); events = m_server.takeEvents()) {
            for (const QuicEvent &event : events) {
                trackFlow(event);
                m_broker.handleFlowEvent(m_now, event);
            }
            m_server.flush(m_now);
        }
        m_server.flush(m_now);
    }

    void drain()
    {
        m_broker.beginDrain(m_now);
        isDraining = true;
    }

    /// Closes all flows, as after a transport fault. The agent keeps its requests.
    void dropFlows(std::uint64_t code = 1)
    {
        for (const FlowHandle flow : std::exchange(m_flows, {})) {
            m_server.close(m_now, flow, code, "dropped");
        }
    }

    void sendDatagram(FlowHandle, const HostAddress &caller, std::span<const std::uint8_t> datagram) override
    {
        m_send(caller, datagram);
    }
    std::size_t write(FlowHandle flow, StreamNumber stream, std::span<const std::uint8_t> bytes, bool end) override
    {
        return m_server.write(flow, stream, bytes, end);
    }
    std::optional<StreamNumber> openUnidirectionalStream(FlowHandle flow) override
    {
        return m_server.openUnidirectionalStream(flow);
    }
    void consume(FlowHandle flow, StreamNumber stream, std::size_t bytes) override
    {
        m_server.consume(flow, stream, bytes);
    }
    void resetStream(FlowHandle flow, StreamNumber stream, std::uint64_t code) override
    {
        m_server.resetStream(flow, stream, code);
    }
    void stopSending(FlowHandle flow, StreamNumber stream, std::uint64_t code) override
    {
        m_server.stopSending(flow, stream, code);
    }

    bool isDraining = false;

private:
    FlowIdBytes makeIdentifier()
    {
        return encodeFlowId(m_keys, 1, m_target, ++m_nonce);
    }

    void trackFlow(const QuicEvent &event)
    {
        if (const auto *established = std::get_if<FlowEstablished>(&event)) {
            m_flows.insert(established->flow);
        } else if (const auto *ended = std::get_if<FlowEnded>(&event)) {
            m_flows.erase(ended->flow);
        }
    }

    const FlowKeySet m_keys = testKeys();
    const FlowTarget m_target;
    const TimePoint &m_now;
    const Send m_send;
    std::uint32_t m_nonce = 0;
    std::set<FlowHandle> m_flows;
    FakeBackend m_backend;
    QuicServer m_server;
    RequestBroker m_broker;
};

}
