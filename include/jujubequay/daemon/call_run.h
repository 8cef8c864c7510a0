#pragma once

#include <jujubequay/client/spraying_socket.h>
#include <jujubequay/core/clock.h>
#include <jujubequay/daemon/call_settings.h>
#include <jujubequay/daemon/call_summary.h>

#include <asio/steady_timer.hpp>

#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace Jujubequay {

/// Requests and feeds of one run of jjq-call, given on the command line.
struct CallPlan {
    std::string service; ///< service name in the certificates of the agents
    std::string path = "/";
    std::uint32_t callers = 1; ///< number of callers, each with its own identity, flows and retry budget
    std::uint32_t flowsPerCaller = 2;
    std::uint32_t feedsPerCaller = 0; ///< feeds that each caller keeps open during the run
    std::string feedPath = "/feed";
    std::uint64_t requests = 1; ///< number of requests of all callers together; 0: as many as fit into the duration
    double ratePerSecond = 0; ///< requests per second of all callers together; 0: all requests are sent at once
    Duration duration{}; ///< length of the run; 0: until all requests are answered
    std::size_t bodyBytes = 0; ///< length of each request body
    double lossRate = 0; ///< fraction of datagrams to drop in each direction, 0 to 1
    HostAddress local{0x7f000001U, 0}; ///< local address; port 0 picks a free port
};

/// Runs callers on one UDP socket until all requests of the plan are answered or its duration is over.
class CallRun
{
public:
    /// Fails with AddressUnavailable. `context` and `clock` must outlive the run.
    static Result<std::unique_ptr<CallRun>> start(
        asio::io_context &context, const Clock &clock, const CallSettings &settings, CallPlan plan, const std::shared_ptr<const TlsCredentials> &credentials);

    CallRun(asio::io_context &context, const Clock &clock, const CallSettings &settings, CallPlan plan);
    ~CallRun();

    /// Ends the run and closes all flows. Open requests get no result.
    void stop();
    bool isDone() const;
    const CallSummary &summary() const;

private:
    struct CallerState;

    Result<void> open(const std::shared_ptr<const TlsCredentials> &credentials);
    void receive(std::span<const std::uint8_t> datagram);
    /// Flushes a caller, counts its events and updates its entry in m_callerTimeouts.
    void processCaller(std::uint32_t index);
    void armTimer();
    void handleTimer();
    void submitDueRequests();
    void submit(std::uint32_t index, WorkClass workClass, const std::string &path);
    void stopIfDone();
    TimePoint nextSubmissionTime() const;

    asio::io_context &m_context;
    const Clock &m_clock;
    const CallSettings m_settings;
    const CallPlan m_plan;
    std::mt19937_64 m_random;
    std::shared_ptr<SprayingSocket> m_socket;
    asio::steady_timer m_timer;
    std::vector<std::unique_ptr<CallerState>> m_callers;
    std::set<std::pair<TimePoint, std::uint32_t>> m_callerTimeouts;
    CallSummary m_summary;
    TimePoint m_started;
    std::uint64_t m_submitted = 0;
    std::uint64_t m_answered = 0;
    bool m_isDone = false;
};

}
