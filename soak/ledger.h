#pragma once

#include <jujubequay/core/clock.h>
#include <jujubequay/core/identifiers.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Jujubequay::Soak {

/// Counts of a run, for its report.
struct LedgerCounts {
    std::uint64_t asked = 0;
    std::uint64_t answered = 0;
    std::uint64_t unanswered = 0;
    std::uint64_t resets = 0;
    std::uint64_t flows = 0;
    std::uint64_t changesAccepted = 0;
};

/// What callers, servers and operators have seen, and the promises that it must keep.
class Ledger
{
public:
    explicit Ledger(const Clock &clock);

    /// A fault from outside began or ended. Planned work may break nothing at all.
    void unplannedFault();
    /// True if an unplanned fault was under way or ended within the last `recoveryTime`.
    bool isDisturbed() const;
    /// A route may lead to a service from now on.
    void allow(const HostAddress &route, const std::string &service);

    std::uint64_t newRequest(const HostAddress &route, bool isIdempotent);
    void ran(std::uint64_t request, const std::string &service);
    void answered(std::uint64_t request, std::uint64_t answeredRequest);
    void unanswered(std::uint64_t request);
    /// A caller was told that its flow does not exist, while its server held it or not.
    void reset(const std::string &flow, bool isHeld);
    void flowOpened();
    /// An operator was told that a version is in force.
    void accepted(std::uint64_t version);
    /// A control host has answered a read that was sent at the given time.
    void readBack(TimePoint sentAt, std::uint64_t version);
    /// A program ended although nobody told it to.
    void endedByItself(const std::string &program);

    /// Counts anew for a quiet time without faults.
    void startQuietTime();
    /// Service must have recovered in the quiet time.
    void endQuietTime();

    const LedgerCounts &counts() const;
    const std::vector<std::string> &violations() const;

    /// A flow is found again, or given up, within this time after a fault: three times the silence after which a host is left.
    static constexpr Duration recoveryTime = std::chrono::seconds(6);
    /// An accepted version is read everywhere after this time.
    static constexpr Duration applyTime = std::chrono::seconds(3);

private:
    struct Request {
        HostAddress route;
        bool isIdempotent = true;
        unsigned runs = 0;
    };

    void violation(const std::string &text);

    const Clock &m_clock;
    const TimePoint m_startedAt;
    TimePoint m_lastFault{};
    std::map<HostAddress, std::set<std::string>> m_allowed;
    std::vector<Request> m_requests;
    std::map<TimePoint, std::uint64_t> m_accepted; ///< highest version at each time
    LedgerCounts m_counts;
    LedgerCounts m_quietStart;
    std::vector<std::string> m_violations;
};

}
