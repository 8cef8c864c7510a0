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
    std::string serviceName; ///< name in the certificates of the agents
    std::size_t flows = 2; ///< number of flows kept open, normally to different backend servers
    std::size_t maxAnswerBytes = 64U << 20U; ///< longest body of an answer that is not a feed
    std::uint32_t maxRepeats = 4; ///< attempts to fetch the answer of a request that may have run from the same agent again
    std::uint32_t maxRetries = 10; ///< retries of one request; moves to another server are not counted
    RetryBudgetOptions retries;
    Duration idleTimeout = std::chrono::seconds(60);
    Duration handshakeTimeout = std::chrono::seconds(10);
    Duration keepAlive = std::chrono::seconds(15);
    std::uint16_t connectionIdPrefix = 0; ///< first 2 bytes of the connection identifiers that this caller chooses for itself
};

/// Totals since the caller was created.
struct CallerStatistics {
    std::uint64_t flowsOpened = 0; ///< flows that became ready for requests, without flowsResumed
    std::uint64_t flowsResumed = 0; ///< flows that replaced a lost flow to the same agent
    std::uint64_t flowsLost = 0; ///< ready flows that ended without a drain of the agent, or with open requests
    std::uint64_t openFailures = 0; ///< flows that ended before they were ready for requests
    std::uint64_t attempts = 0; ///< requests sent on a stream
    std::uint64_t retries = 0; ///< retries, including moves to another server
    std::uint64_t retriesDenied = 0; ///< retries refused by the retry budget or by CallerOptions::maxRetries
    std::uint64_t feedRepeats = 0; ///< feed parts received again after a move to another server, which are dropped
    std::uint64_t feedGaps = 0; ///< feed parts that did not follow the last one; the feed is requested again from the last position
};

/// Sends the requests of one caller to a service and retries those that are safe to retry. A state machine without sockets, threads
/// or a clock.
///
///     const RequestTicket ticket = caller.submit(now, request);
///     caller.flush(now);
///     caller.receive(now, datagram);
///     for (const CallerEvent &event : caller.takeEvents()) { ... }
///
/// A non-idempotent request is sent to a second server only after the first one has reported that the request did not run.
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
    /// Finishes a request with NotRunCancelled, or with Cancelled if it may have run. Unknown tickets are ignored.
    void cancel(TimePoint now, RequestTicket ticket);

    /// Processes a datagram from any entry host. Ignores it if its destination identifier belongs to another caller.
    void receive(TimePoint now, std::span<const std::uint8_t> datagram);
    /// Opens missing flows and sends all requests and datagrams that are due. Must be called after every other operation.
    void flush(TimePoint now);
    std::optional<TimePoint> nextTimeout() const;
    void handleTimeout(TimePoint now);
    CallerEvents takeEvents();
    /// Closes all flows. Open requests get no RequestFinished event.
    void close(TimePoint now);

    /// Number of requests without a final result.
    std::size_t openRequests() const;
    /// Number of flows that are ready for requests.
    std::size_t readyFlows() const;
    const CallerStatistics &statistics() const;

private:
    /// A flow that is open or being opened.
    struct Flow {
        std::unique_ptr<CallerFlow> transport;
        std::optional<Greeting> greeting; ///< latest greeting of the agent; set once the flow is ready for requests
        std::optional<Greeting> replacedFlow; ///< greeting of the lost flow that this flow replaces; empty once the agent has sent its own greeting
        std::map<StreamNumber, RequestTicket> requests;
        LoadEstimate estimate; ///< load of the backend server
    };
    /// A request without a final result.
    struct PendingRequest {
        Request request;
        std::uint64_t sequence = 0; ///< identifies the request at the agents; changes when the request is retried after it did not run
        TimePoint submittedAt;
        std::optional<TimePoint> deadline;
        TimePoint notBefore; ///< earliest time of the next attempt
        /// Greeting of the agent that has the request or may have run it, with the window of the first attempt there.
        std::optional<Greeting> assigned;
        std::set<std::uint32_t> refusedBy; ///< incarnations of the servers that did not run the request
        std::optional<std::uint64_t> flow; ///< flow that carries the current attempt
        StreamNumber stream = 0; ///< stream of the current attempt
        TimePoint sentAt;
        std::uint32_t attempts = 0;
        std::uint32_t retries = 0;
        std::uint32_t repeats = 0; ///< further attempts at the agent in `assigned` since it was assigned
        bool wasMoved = false; ///< the request was moved to another server after its server did not run it
        bool wasFlowLost = false; ///< a flow to the agent in `assigned` ended during an attempt, so the request may have run
        std::optional<std::uint64_t> position; ///< feeds: position after the last part that was delivered as an event
    };
    using PendingRequests = std::map<RequestTicket, PendingRequest>;

    // Flows
    void openFlow(TimePoint now, std::optional<Greeting> replacedFlow);
    void openMissingFlows(TimePoint now);
    /// Handles the events of all flows. Returns false if there were none.
    bool takeFlowEvents(TimePoint now);
    void closeIdleDrainingFlows(TimePoint now);
    void handle(TimePoint now, std::uint64_t flow, const GreetingReceived &event);
    void handle(TimePoint now, std::uint64_t flow, const AttemptFeedPart &event);
    void handle(TimePoint now, std::uint64_t flow, const AttemptEnded &event);
    void handle(TimePoint now, std::uint64_t flow, const CallerFlowEnded &event);
    bool hasFlowTo(Incarnation server) const;

    // Requests
    void sendDueRequests(TimePoint now);
    bool ensureAgentReachable(TimePoint now, RequestTicket ticket, PendingRequest &pending);
    std::uint32_t slotRequests(const Flow &flow) const;
    std::optional<std::uint64_t> chooseFlowFor(TimePoint now, const PendingRequest &pending);
    void send(TimePoint now, std::uint64_t flow, RequestTicket ticket, PendingRequest &pending);
    void expireDeadlines(TimePoint now);
    void finishOrRetry(TimePoint now, RequestTicket ticket, PendingRequest &pending, const AttemptOutcome &outcome, Bytes body);
    void repeatAtSameAgent(TimePoint now, RequestTicket ticket, PendingRequest &pending, const AttemptOutcome &outcome);
    void finish(TimePoint now, RequestTicket ticket, ResultCode result, std::string detail, Bytes body);
    void detachFromFlow(PendingRequest &pending);

    const CallerOptions m_options;
    const std::shared_ptr<const TlsCredentials> m_credentials;
    const std::array<std::uint8_t, 16> m_identity;
    QuicClientSink &m_sink;
    std::mt19937_64 &m_random;
    RetryBudget m_budget;
    std::map<std::uint64_t, Flow> m_flows;
    PendingRequests m_requests;
    CallerEvents m_events;
    CallerStatistics m_statistics;
    std::uint64_t m_nextFlow = 1;
    std::uint64_t m_nextTicket = 1;
    std::uint64_t m_nextSequence = 1;
    std::uint32_t m_consecutiveOpenFailures = 0; ///< flows that failed to open since the last flow that became ready
    TimePoint m_nextOpenTime = TimePoint::min();
    TimePoint m_lastSendTime = TimePoint::min();
    bool m_isClosed = false;
};

}
