#pragma once

#include <jujubequay/client/caller_flow.h>
#include <jujubequay/client/request.h>
#include <jujubequay/policy/flow_choice.h>
#include <jujubequay/policy/retry.h>

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace Jujubequay {

struct CallerOptions {
    std::string serviceName;
    std::size_t flows = 2; ///< flows held open, normally to different servers
    std::size_t maxAnswerBytes = 64U << 20U;
    std::uint32_t maxRepeats = 4; ///< times that one server is asked again for the answer to a request that may have run
    std::uint32_t maxRetries = 10; ///< of one request, moves not counted
    RetryBudgetOptions retries;
    Duration idleTimeout = std::chrono::seconds(60);
    Duration handshakeTimeout = std::chrono::seconds(10);
    Duration keepAlive = std::chrono::seconds(15);
    std::uint16_t connectionIdPrefix = 0; ///< first 2 bytes of the identifiers by which this caller receives
};

/// Totals since the start of a caller.
struct CallerStatistics {
    std::uint64_t flowsOpened = 0;
    std::uint64_t flowsResumed = 0; ///< opened again to the same agent after a loss
    std::uint64_t flowsLost = 0; ///< ended with requests on them, or without being drained
    std::uint64_t openFailures = 0;
    std::uint64_t attempts = 0;
    std::uint64_t retries = 0;
    std::uint64_t retriesDenied = 0; ///< by the budget
    std::uint64_t feedRepeats = 0; ///< parts received again after a move, dropped
    std::uint64_t feedGaps = 0; ///< parts that did not follow the last one, fetched again
};

/// Sends requests of one caller to a service and retries what is safe to retry. A state machine without sockets, threads
/// or a clock.
///
///     const RequestTicket ticket = caller.submit(now, request);
///     caller.flush(now);
///     caller.receive(now, datagram);
///     for (const CallerEvent &event : caller.takeEvents()) { ... }
///
/// A non-idempotent request is sent to a second server only after the first has said that it did not run.
class Caller
{
public:
    /// `sink` and `random` outlive the caller.
    Caller(CallerOptions options,
           std::shared_ptr<const TlsCredentials> credentials,
           const std::array<std::uint8_t, 16> &identity,
           QuicClientSink &sink,
           std::mt19937_64 &random);
    ~Caller();
    Caller(const Caller &) = delete;
    Caller &operator=(const Caller &) = delete;

    RequestTicket submit(TimePoint now, Request request);
    /// Ends a request with NotRunCancelled or Cancelled. Unknown tickets are ignored.
    void cancel(TimePoint now, RequestTicket ticket);

    /// Takes a datagram from any entry host; ignored if it is for another caller.
    void receive(TimePoint now, std::span<const std::uint8_t> datagram);
    /// Opens flows, sends what is due. To be called after any other operation.
    void flush(TimePoint now);
    std::optional<TimePoint> nextTimeout() const;
    void handleTimeout(TimePoint now);
    CallerEvents takeEvents();
    /// Closes all flows. Open requests get no answer.
    void close(TimePoint now);

    std::size_t openRequests() const;
    /// Flows that are ready for requests.
    std::size_t readyFlows() const;
    const CallerStatistics &statistics() const;

private:
    struct Flow {
        std::unique_ptr<CallerFlow> transport;
        std::optional<Greeting> greeting; ///< set once the flow is ready
        std::optional<Greeting> resumes; ///< greeting of the lost flow that this one replaces
        std::map<StreamNumber, RequestTicket> requests;
        LoadEstimate estimate; ///< of the server
    };
    struct Work {
        Request request;
        std::uint64_t sequence = 0;
        TimePoint submittedAt;
        std::optional<TimePoint> deadline;
        TimePoint notBefore;
        /// The server that has the request or may have run it, and its window of the first attempt.
        std::optional<Greeting> first;
        std::set<std::uint32_t> refusedBy; ///< incarnations of servers
        std::optional<std::uint64_t> flow; ///< where it is open
        StreamNumber stream = 0;
        TimePoint sentAt;
        std::uint32_t attempts = 0;
        std::uint32_t retries = 0;
        std::uint32_t repeats = 0;
        bool wasMoved = false;
        bool hasLostFlow = false; ///< an attempt at the server in `first` lost its flow, so it may have run
        std::optional<std::uint64_t> position; ///< feeds: after the last part given to the owner
    };
    using Works = std::map<RequestTicket, Work>;

    // Flows.
    void openFlow(TimePoint now, std::optional<Greeting> resumes);
    void openMissingFlows(TimePoint now);
    /// False if nothing has happened.
    bool takeFlowEvents(TimePoint now);
    void closeIdleDrainedFlows(TimePoint now);
    void handle(TimePoint now, std::uint64_t flow, const FlowGreeted &event);
    void handle(TimePoint now, std::uint64_t flow, const AttemptFeedPart &event);
    void handle(TimePoint now, std::uint64_t flow, const AttemptEnded &event);
    void handle(TimePoint now, std::uint64_t flow, const CallerFlowEnded &event);
    bool isReachable(Incarnation server) const;

    // Requests.
    void sendDue(TimePoint now);
    bool settleBeforeSending(TimePoint now, RequestTicket ticket, Work &work);
    std::uint32_t openRequests(const Flow &flow) const;
    std::optional<std::uint64_t> chooseFlowFor(TimePoint now, const Work &work);
    void send(TimePoint now, std::uint64_t flow, RequestTicket ticket, Work &work);
    void expire(TimePoint now);
    void decide(TimePoint now, RequestTicket ticket, Work &work, const AttemptOutcome &outcome, Bytes body);
    void repeatAtSameServer(TimePoint now, RequestTicket ticket, Work &work, const AttemptOutcome &outcome);
    void finish(TimePoint now, RequestTicket ticket, ResultCode result, std::string detail, Bytes body);
    void detach(Work &work);

    const CallerOptions m_options;
    const std::shared_ptr<const TlsCredentials> m_credentials;
    const std::array<std::uint8_t, 16> m_identity;
    QuicClientSink &m_sink;
    std::mt19937_64 &m_random;
    RetryBudget m_budget;
    std::map<std::uint64_t, Flow> m_flows;
    Works m_works;
    CallerEvents m_events;
    CallerStatistics m_statistics;
    std::uint64_t m_nextFlow = 1;
    std::uint64_t m_nextTicket = 1;
    std::uint64_t m_nextSequence = 1;
    std::uint32_t m_openFailures = 0; ///< in a row
    TimePoint m_openNotBefore = TimePoint::min();
    TimePoint m_lastFlush = TimePoint::min();
    bool m_closed = false;
};

}
