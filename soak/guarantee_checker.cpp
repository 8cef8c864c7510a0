#include "soak/guarantee_checker.h"

#include <fmt/format.h>

#include <algorithm>

namespace Jujubequay::Soak {

namespace {

/// Least share of the requests of the fault-free period that must be answered.
constexpr double minAnsweredShare = 0.98;

}

GuaranteeChecker::GuaranteeChecker(const Clock &clock)
    : m_clock(clock)
    , m_startedAt(clock.now())
{
}

void GuaranteeChecker::addViolation(const std::string &text)
{
    m_violations.push_back(fmt::format("{} ms: {}", std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now() - m_startedAt).count(), text));
}

void GuaranteeChecker::recordUnplannedFault()
{
    m_lastUnplannedFaultAt = m_clock.now();
}

bool GuaranteeChecker::isAffectedByFault() const
{
    return m_clock.now() - m_lastUnplannedFaultAt < recoveryTime;
}

void GuaranteeChecker::allowService(const HostAddress &route, const std::string &service)
{
    m_allowedServices[route].insert(service);
}

std::uint64_t GuaranteeChecker::newRequest(const HostAddress &route, bool isIdempotent)
{
    m_requests.push_back({route, isIdempotent});
    ++m_counts.requests;
    return m_requests.size();
}

void GuaranteeChecker::recordExecution(std::uint64_t request, const std::string &service)
{
    if (request == 0 || request > m_requests.size()) {
        addViolation(fmt::format("{} executed request {}, which no caller has sent", service, request));
        return;
    }
    Request &sent = m_requests[request - 1];
    ++sent.executions;
    if (!sent.isIdempotent && sent.executions > 1) {
        addViolation(fmt::format("request {} is not idempotent and was executed {} times", request, sent.executions));
    }
    if (!m_allowedServices[sent.route].contains(service)) {
        addViolation(fmt::format("request {} to route {} was executed by service {}, which the route does not allow", request, toString(sent.route), service));
    }
}

void GuaranteeChecker::recordAnswer(std::uint64_t request, std::uint64_t answeredRequest)
{
    ++m_counts.answered;
    if (request != answeredRequest) {
        addViolation(fmt::format("request {} received the answer to request {}", request, answeredRequest));
    }
}

void GuaranteeChecker::recordUnanswered(std::uint64_t /*request*/)
{
    ++m_counts.unanswered;
}

void GuaranteeChecker::recordReset(const std::string &flow, bool isOpenAtServer)
{
    ++m_counts.resets;
    if (isOpenAtServer && !isAffectedByFault()) {
        addViolation(fmt::format("flow {} was reset while it was open at its server", flow));
    }
}

void GuaranteeChecker::recordFlowOpened()
{
    ++m_counts.flows;
}

void GuaranteeChecker::recordAcceptedVersion(std::uint64_t version)
{
    ++m_counts.acceptedChanges;
    const std::uint64_t highestVersion = m_acceptedVersions.empty() ? 0 : m_acceptedVersions.rbegin()->second;
    m_acceptedVersions[m_clock.now()] = std::max(highestVersion, version);
}

void GuaranteeChecker::recordReadVersion(TimePoint sentAt, std::uint64_t version)
{
    const auto firstRecent = m_acceptedVersions.upper_bound(sentAt - applyTime);
    if (firstRecent != m_acceptedVersions.begin() && version < std::prev(firstRecent)->second) {
        addViolation(fmt::format("version {} was read after version {} had been accepted", version, std::prev(firstRecent)->second));
    }
}

void GuaranteeChecker::recordUnexpectedExit(const std::string &program)
{
    addViolation(fmt::format("{} exited unexpectedly", program));
}

void GuaranteeChecker::startFaultFreePeriod()
{
    m_countsBeforePeriod = m_counts;
}

void GuaranteeChecker::endFaultFreePeriod()
{
    const std::uint64_t answered = m_counts.answered - m_countsBeforePeriod.answered;
    const std::uint64_t unanswered = m_counts.unanswered - m_countsBeforePeriod.unanswered;
    if (static_cast<double>(answered) < minAnsweredShare * static_cast<double>(answered + unanswered) || answered == 0) {
        addViolation(fmt::format("{} requests were answered and {} were not in the fault-free period at the end", answered, unanswered));
    }
}

const RunCounts &GuaranteeChecker::counts() const
{
    return m_counts;
}

const std::vector<std::string> &GuaranteeChecker::violations() const
{
    return m_violations;
}

}
