#pragma once

#include <jujubequay/core/clock.h>
#include <jujubequay/core/identifiers.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Jujubequay::Soak {

/// Counts for the report of a run.
struct RunCounts {
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    std::uint64_t unanswered = 0;
    std::uint64_t resets = 0;
    std::uint64_t flows = 0;
    std::uint64_t acceptedChanges = 0;
};

/// Checks the guarantees of the system against the events that callers, servers and operators observe.
class GuaranteeChecker
{
public:
    explicit GuaranteeChecker(const Clock &clock);

    /// Records that an unplanned fault begins, is active or ends. Planned work such as a restart must not break any flow and is not recorded.
    void recordUnplannedFault();
    /// Returns true if an unplanned fault was active within the last `recoveryTime`.
    bool isAffectedByFault() const;
    /// Allows a service to execute requests to a route from now on.
    void allowService(const HostAddress &route, const std::string &service);

    /// Records a request that a caller is about to send. Returns its number.
    std::uint64_t newRequest(const HostAddress &route, bool isIdempotent);
    /// Records the execution of a request by a server of `service`.
    void recordExecution(std::uint64_t request, const std::string &service);
    /// Records the answer to `request`; `answeredRequest` is the number in the answer.
    void recordAnswer(std::uint64_t request, std::uint64_t answeredRequest);
    void recordUnanswered(std::uint64_t request);
    /// Records that a caller received an RST. `isOpenAtServer`: the flow is open at a server.
    void recordReset(const std::string &flow, bool isOpenAtServer);
    void recordFlowOpened();
    /// Records that a configuration with this version was accepted.
    void recordAcceptedVersion(std::uint64_t version);
    /// Records the version that a control host returned for a fetch sent at `sentAt`.
    void recordReadVersion(TimePoint sentAt, std::uint64_t version);
    /// Records that a program exited although it was neither stopped nor killed.
    void recordUnexpectedExit(const std::string &program);

    /// Starts the count of requests in the fault-free period.
    void startFaultFreePeriod();
    /// Checks that nearly all requests of the fault-free period were answered.
    void endFaultFreePeriod();

    const RunCounts &counts() const;
    const std::vector<std::string> &violations() const;

    /// Flows are recovered or abandoned within this time after a fault: three times the timeout after which a host counts as unresponsive.
    static constexpr Duration recoveryTime = std::chrono::seconds(6);
    /// An accepted version is read from all control hosts after this time.
    static constexpr Duration applyTime = std::chrono::seconds(3);

private:
    struct Request {
        HostAddress route;
        bool isIdempotent = true;
        unsigned executions = 0;
    };

    void addViolation(const std::string &text);

    const Clock &m_clock;
    const TimePoint m_startedAt;
    TimePoint m_lastUnplannedFaultAt{};
    std::map<HostAddress, std::set<std::string>> m_allowedServices;
    std::vector<Request> m_requests;
    std::map<TimePoint, std::uint64_t> m_acceptedVersions; ///< highest version accepted up to each time
    RunCounts m_counts;
    RunCounts m_countsBeforePeriod;
    std::vector<std::string> m_violations;
};

}
