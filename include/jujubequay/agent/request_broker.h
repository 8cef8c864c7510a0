#pragma once

#include <jujubequay/agent/backend_port.h>
#include <jujubequay/agent/flow_port.h>
#include <jujubequay/flow/request_table.h>
#include <jujubequay/policy/admission_queue.h>
#include <jujubequay/wire/digest.h>
#include <jujubequay/wire/flow_id.h>

#include <deque>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <unordered_map>

namespace jujubequay::pb {
class AgentMessage;
class RequestHeader;
}

namespace Jujubequay {

struct RequestBrokerOptions {
    AdmissionOptions admission;
    RequestTable::Options requests;
    std::size_t maxRequestBytes = 256U << 10U; ///< header and body of one request
    std::size_t maxKeptAnswerBytes = 4U << 20U; ///< answer of a non-idempotent request while it is collected
    /// Feeds of a draining server are moved at random times within this span, so that their callers do not all reconnect at once.
    Duration feedMoveSpread = std::chrono::seconds(3);
};

/// Totals since the start of the agent.
struct RequestBrokerStatistics {
    std::uint64_t received = 0; ///< complete requests
    std::uint64_t started = 0; ///< handed to the backend server
    std::uint64_t replayed = 0; ///< answered from a stored answer
    std::uint64_t attached = 0; ///< joined a request in progress
    std::uint64_t feedsMoved = 0;
    std::uint64_t malformed = 0;
    std::map<ResultCode, std::uint64_t> answered; ///< by final result
};

/// Told about each finished request, for metrics.
struct RequestReport {
    std::string customer;
    WorkClass workClass = WorkClass::Interactive;
    ResultCode result = ResultCode::Ok;
    Duration queued{}; ///< from admission to start; the whole time of a refused request
    Duration total{};
    std::uint64_t answerBytes = 0;
};

/// The agent's request state machine: reads requests from flows, admits them, runs them on the backend server at most
/// once if they are not idempotent, and answers every attempt.
class RequestBroker
{
public:
    using Reporter = std::function<void(const RequestReport &)>;
    /// Makes the resume identifier of a new flow.
    using ResumeIdentifier = std::function<FlowIdBytes()>;

    /// Ports, `random` and the callbacks outlive the broker.
    RequestBroker(Incarnation own,
                  RequestBrokerOptions options,
                  FlowPort &flows,
                  BackendPort &backend,
                  ResumeIdentifier resumeIdentifier,
                  Reporter reporter,
                  std::mt19937_64 &random,
                  TimePoint now);
    ~RequestBroker();

    void handleFlowEvent(TimePoint now, const QuicEvent &event);
    void handleBackendEvent(TimePoint now, const BackendEvent &event);
    /// Due at nextTimeout().
    void tick(TimePoint now);
    /// Takes no new work from now on: waiting and new requests are refused with NotRunMoved, running ones finish, feeds
    /// are moved with their position.
    void beginDrain(TimePoint now);

    /// Uses the admission rules of a new bundle from now on.
    void configureAdmission(TimePoint now, AdmissionOptions options);
    /// Gives every flow a new resume identifier, after a flow key was replaced.
    void renewResumeIdentifiers();

    std::optional<TimePoint> nextTimeout() const;
    LoadReport load() const;
    /// True when no request is waiting or running and no feed is open.
    bool isIdle() const;
    const RequestBrokerStatistics &statistics() const;

private:
    struct Stream;
    struct Job;
    using StreamKey = std::pair<FlowHandle, StreamNumber>;

    void receive(TimePoint now, const StreamReceived &received);
    void abandonStream(TimePoint now, const StreamKey &key);
    void removeStream(TimePoint now, const StreamKey &key);
    void abandonFlow(TimePoint now, FlowHandle flow);
    void readMessages(TimePoint now, const StreamKey &key);
    void rejectStream(const StreamKey &key);
    void submit(TimePoint now, const StreamKey &key);
    bool admitOnce(const StreamKey &key, Job &job);
    void apply(TimePoint now, const AdmissionEffects &effects);
    void start(TimePoint now, std::uint64_t call);
    void refuse(TimePoint now, std::uint64_t call, ResultCode code, Duration retryAfter);
    void detach(TimePoint now, const StreamKey &key, bool isCancelled);

    void handle(TimePoint now, const BackendResponding &event);
    void handle(TimePoint now, const BackendData &event);
    void handle(TimePoint now, const BackendEnded &event);
    void handle(TimePoint now, const BackendFailed &event);
    void relayData(Job &job, const BackendData &event);
    void complete(TimePoint now, Job &job, ResultCode result, const std::string &detail);
    void schedule(Job &job, TimePoint time);
    void unschedule(Job &job);
    void endDueJobs(TimePoint now);

    void sendGreeting(FlowHandle flow);
    void sendGreetings();
    void sendHeader(const StreamKey &key, ResultCode result, const std::string &detail, Duration retryAfter);
    void sendTrailer(const StreamKey &key, ResultCode result, std::uint64_t length, const DigestBytes &digest, std::uint64_t position);
    void answer(const StreamKey &key, ResultCode result, const std::string &detail, const Bytes &body, Duration retryAfter);
    void send(const StreamKey &key, const jujubequay::pb::AgentMessage &message, bool end);
    void pump(const StreamKey &key);
    void returnCredit(Job &job);
    void report(TimePoint now, const Job &job, ResultCode result);

    const Incarnation m_own;
    const RequestBrokerOptions m_options;
    FlowPort &m_flows;
    BackendPort &m_backend;
    const ResumeIdentifier m_resumeIdentifier;
    const Reporter m_reporter;
    std::mt19937_64 &m_random;

    RequestTable m_table;
    AdmissionQueue m_admission;
    std::uint64_t m_announcedWindow = 0;
    bool m_draining = false;

    struct Flow {
        FlowIdBytes resumeIdentifier{};
        std::optional<StreamNumber> greetingStream;
    };
    std::map<FlowHandle, Flow> m_openFlows;
    std::map<StreamKey, std::unique_ptr<Stream>> m_streams;
    std::map<std::uint64_t, std::unique_ptr<Job>> m_jobs;
    std::unordered_map<RequestId, std::uint64_t> m_callByRequest; ///< non-idempotent requests in progress
    std::set<std::pair<TimePoint, std::uint64_t>> m_due; ///< running jobs by the time when they are ended
    std::uint64_t m_nextCall = 1;
    RequestBrokerStatistics m_statistics;
};

}
