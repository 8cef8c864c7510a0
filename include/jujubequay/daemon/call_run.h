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

/// What jjq-call does, besides its settings file.
struct CallPlan {
    std::string service; ///< name in the agents' certificates
    std::string path = "/";
    std::uint32_t callers = 1; ///< each has its own identity, flows and retry budget
    std::uint32_t flowsPerCaller = 2;
    std::uint32_t feedsPerCaller = 0; ///< held open for the whole run
    std::string feedPath = "/feed";
    std::uint64_t requests = 1; ///< in total; 0: only the duration counts
    double ratePerSecond = 0; ///< of all callers together; 0: all at once
    Duration duration{}; ///< 0: until all requests are answered
    std::size_t bodyBytes = 0;
    double lossRate = 0; ///< fraction of datagrams to drop in each direction, 0 to 1
    HostAddress local{0x7f000001U, 0};
};

/// Runs callers on one socket until the plan is done.
class CallRun
{
public:
    /// Fails with AddressUnavailable. All references outlive the run.
    static Result<std::unique_ptr<CallRun>> start(
        asio::io_context &context, const Clock &clock, const CallSettings &settings, CallPlan plan, const std::shared_ptr<const TlsCredentials> &credentials);

    CallRun(asio::io_context &context, const Clock &clock, const CallSettings &settings, CallPlan plan);
    ~CallRun();

    /// Ends the run early; open requests are cancelled.
    void stop();
    bool isDone() const;
    const CallSummary &summary() const;

private:
    struct Member;

    Result<void> open(const std::shared_ptr<const TlsCredentials> &credentials);
    void receive(std::span<const std::uint8_t> datagram);
    /// Takes the events of a member, sends what is due, and enters its timeout anew.
    void advance(std::uint32_t index);
    void wait();
    void handleTime();
    void submitDue();
    void submit(std::uint32_t index, WorkClass workClass, const std::string &path);
    void checkDone();
    TimePoint nextSubmission() const;

    asio::io_context &m_context;
    const Clock &m_clock;
    const CallSettings m_settings;
    const CallPlan m_plan;
    std::mt19937_64 m_random;
    std::shared_ptr<SprayingSocket> m_socket;
    asio::steady_timer m_timer;
    std::vector<std::unique_ptr<Member>> m_members;
    std::set<std::pair<TimePoint, std::uint32_t>> m_timeouts;
    CallSummary m_summary;
    TimePoint m_started;
    std::uint64_t m_submitted = 0;
    std::uint64_t m_answered = 0;
    bool m_done = false;
};

}
