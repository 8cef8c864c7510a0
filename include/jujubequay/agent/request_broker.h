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
    std::size_t maxRequestBytes = 256U << 10U; ///< longest request, header and body together
    std::size_t maxBufferedAnswerBytes = 4U << 20U; ///< longest answer to a non-idempotent request, which is buffered until it is complete
    /// Feeds of a draining server are moved at random times within this span, so that their callers do not all reconnect at once.
    Duration feedMoveSpread = std::chrono::seconds(3);
};

/// Totals since the start of the agent.
struct RequestBrokerStatistics {
    std::uint64_t received = 0; ///< requests that arrived completely
    std::uint64_t started = 0; ///< requests that were sent to the backend server
    std::uint64_t replayed = 0; ///< attempts that received the stored answer of an earlier attempt
    std::uint64_t attached = 0; ///< attempts that were attached to a request in progress
    std::uint64_t feedsMoved = 0; ///< feeds that were ended with Moved during a drain
    std::uint64_t malformed = 0; ///< requests that were rejected as malformed
    std::map<ResultCode, std::uint64_t> answered; ///< ended requests, by final result
};

/// Figures of one ended request, for metrics.
struct RequestReport {
    std::string customer;
    WorkClass workClass = WorkClass::Interactive;
    ResultCode result = ResultCode::Ok;
    Duration queued{}; ///< time from submission to start, or to refusal if the request was not started
    Duration total{}; ///< time from submission to the final result
    std::uint64_t answerBytes = 0; ///< size of the answer's body
};

/// The agent's request state machine. Reads requests from flows, admits them, sends them to the backend server and answers every
/// attempt. Starts a non-idempotent request at most once.
class RequestBroker
{
public:
    /// Called when a request has ended.
    using Reporter = std::function<void(const RequestReport &)>;
    /// Creates a resume identifier for a flow.
    using ResumeIdentifierFactory = std::function<FlowIdBytes()>;

    /// `flows`, `backend`, `random` and the objects that the callbacks use must outlive the broker.
    RequestBroker(Incarnation local,
                  RequestBrokerOptions options,
                  FlowPort &flows,
                  BackendPort &backend,
                  ResumeIdentifierFactory makeResumeIdentifier,
                  Reporter reporter,
                  std::mt19937_64 &random,
                  TimePoint now);
    ~RequestBroker();

    void handleFlowEvent(TimePoint now, const QuicEvent &event);
    void handleBackendEvent(TimePoint now, const BackendEvent &event);
    /// Ends requests and feeds whose timeout has passed, and announces a new request window. Call it at nextTimeout().
    void tick(TimePoint now);
    /// Refuses waiting and new requests with NotRunMoved, lets running requests finish, and ends feeds with Moved and their
    /// position within `feedMoveSpread`.
    void beginDrain(TimePoint now);

    /// Replaces the admission rules, for example by those of a new bundle.
    void configureAdmission(TimePoint now, AdmissionOptions options);
    /// Sends a new resume identifier on every flow. Call it after the active flow key has changed.
    void renewResumeIdentifiers();

    /// The next deadline of a request or feed; empty if there is none.
    std::optional<TimePoint> nextTimeout() const;
    LoadReport load() const;
    /// True when no request is waiting or running, no feed is open and the flows have accepted all bytes.
    bool isIdle() const;
    const RequestBrokerStatistics &statistics() const;

private:
    struct Stream;
    struct Job;
    using StreamKey = std::pair<FlowHandle, StreamNumber>;

    void receive(TimePoint now, const StreamDataReceived &received);
    void abandonStream(TimePoint now, const StreamKey &key);
    void removeStream(TimePoint now, const StreamKey &key);
    void abandonFlow(TimePoint now, FlowHandle flow);
    void readMessages(TimePoint now, const StreamKey &key);
    void rejectStream(const StreamKey &key);
    void submit(TimePoint now, const StreamKey &key);
    /// Returns true if the request may be started. Otherwise the attempt was answered or attached to a request in progress.
    bool admitNonIdempotent(const StreamKey &key, Job &job);
    void apply(TimePoint now, const AdmissionEffects &effects);
    void start(TimePoint now, std::uint64_t call);
    void refuse(TimePoint now, std::uint64_t call, ResultCode code, Duration retryAfter);
    /// Removes an attempt from its job, and cancels the job if its result is no longer needed.
    void detach(TimePoint now, const StreamKey &key, bool isCancelled);

    void handle(TimePoint now, const BackendResponseStarted &event);
    void handle(TimePoint now, const BackendData &event);
    void handle(TimePoint now, const BackendEnded &event);
    void handle(TimePoint now, const BackendFailed &event);
    void relayData(Job &job, const BackendData &event);
    void complete(TimePoint now, Job &job, ResultCode result, const std::string &detail);
    void scheduleTimeout(Job &job, TimePoint time);
    void cancelTimeout(Job &job);
    void endTimedOutJobs(TimePoint now);

    void sendGreeting(FlowHandle flow);
    void sendGreetings();
    void sendHeader(const StreamKey &key, ResultCode result, const std::string &detail, Duration retryAfter);
    void sendTrailer(const StreamKey &key, ResultCode result, std::uint64_t length, const DigestBytes &digest, std::uint64_t position);
    void answer(const StreamKey &key, ResultCode result, const std::string &detail, const Bytes &body, Duration retryAfter);
    void send(const StreamKey &key, const jujubequay::pb::AgentMessage &message, bool end);
    void flushPending(const StreamKey &key);
    /// Returns flow control credit to the backend server, unless an attempt has too many pending bytes.
    void returnCredit(Job &job);
    void report(TimePoint now, const Job &job, ResultCode result);

    const Incarnation m_localIncarnation;
    const RequestBrokerOptions m_options;
    FlowPort &m_flows;
    BackendPort &m_backend;
    const ResumeIdentifierFactory m_makeResumeIdentifier;
    const Reporter m_reporter;
    std::mt19937_64 &m_random;

    RequestTable m_table;
    AdmissionQueue m_admission;
    std::uint64_t m_announcedWindow = 0; ///< the request window in the last greetings
    bool m_draining = false;

    struct Flow {
        FlowIdBytes resumeIdentifier{};
        std::optional<StreamNumber> greetingStream;
    };
    std::map<FlowHandle, Flow> m_openFlows;
    std::map<StreamKey, std::unique_ptr<Stream>> m_streams;
    std::map<std::uint64_t, std::unique_ptr<Job>> m_jobs;
    std::unordered_map<RequestId, std::uint64_t> m_callByRequest; ///< non-idempotent requests in progress
    std::set<std::pair<TimePoint, std::uint64_t>> m_jobTimeouts; ///< timeouts of running jobs, with their call numbers
    std::uint64_t m_nextCall = 1;
    RequestBrokerStatistics m_statistics;
};

}
