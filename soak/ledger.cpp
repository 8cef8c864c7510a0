#include "soak/ledger.h"

#include <fmt/format.h>

#include <algorithm>

namespace Jujubequay::Soak {

namespace {

/// Share of the requests of the quiet time that must be answered.
constexpr double answeredShare = 0.98;

}

Ledger::Ledger(const Clock &clock)
    : m_clock(clock)
    , m_startedAt(clock.now())
{
}

void Ledger::violation(const std::string &text)
{
    m_violations.push_back(fmt::format("{} ms: {}", std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now() - m_startedAt).count(), text));
}

void Ledger::unplannedFault()
{
    m_lastFault = m_clock.now();
}

bool Ledger::isDisturbed() const
{
    return m_clock.now() - m_lastFault < recoveryTime;
}

void Ledger::allow(const HostAddress &route, const std::string &service)
{
    m_allowed[route].insert(service);
}

std::uint64_t Ledger::newRequest(const HostAddress &route, bool isIdempotent)
{
    m_requests.push_back({route, isIdempotent});
    ++m_counts.asked;
    return m_requests.size();
}

void Ledger::ran(std::uint64_t request, const std::string &service)
{
    if (request == 0 || request > m_requests.size()) {
        violation(fmt::format("{} ran request {}, which nobody has sent", service, request));
        return;
    }
    Request &known = m_requests[request - 1];
    ++known.runs;
    if (!known.isIdempotent && known.runs > 1) {
        violation(fmt::format("request {} is not idempotent and ran {} times", request, known.runs));
    }
    if (!m_allowed[known.route].contains(service)) {
        violation(fmt::format("request {} for {} ran at {}", request, toString(known.route), service));
    }
}

void Ledger::answered(std::uint64_t request, std::uint64_t answeredRequest)
{
    ++m_counts.answered;
    if (request != answeredRequest) {
        violation(fmt::format("request {} got the answer to request {}", request, answeredRequest));
    }
}

void Ledger::unanswered(std::uint64_t /*request*/)
{
    ++m_counts.unanswered;
}

void Ledger::reset(const std::string &flow, bool isHeld)
{
    ++m_counts.resets;
    if (isHeld && !isDisturbed()) {
        violation(fmt::format("flow {} was reset while its server held it", flow));
    }
}

void Ledger::flowOpened()
{
    ++m_counts.flows;
}

void Ledger::accepted(std::uint64_t version)
{
    ++m_counts.changesAccepted;
    const std::uint64_t before = m_accepted.empty() ? 0 : m_accepted.rbegin()->second;
    m_accepted[m_clock.now()] = std::max(before, version);
}

void Ledger::readBack(TimePoint sentAt, std::uint64_t version)
{
    const auto later = m_accepted.upper_bound(sentAt - applyTime);
    if (later != m_accepted.begin() && version < std::prev(later)->second) {
        violation(fmt::format("version {} was read, {} had been accepted before", version, std::prev(later)->second));
    }
}

void Ledger::endedByItself(const std::string &program)
{
    violation(fmt::format("{} ended by itself", program));
}

void Ledger::startQuietTime()
{
    m_quietStart = m_counts;
}

void Ledger::endQuietTime()
{
    const std::uint64_t answered = m_counts.answered - m_quietStart.answered;
    const std::uint64_t unanswered = m_counts.unanswered - m_quietStart.unanswered;
    if (static_cast<double>(answered) < answeredShare * static_cast<double>(answered + unanswered) || answered == 0) {
        violation(fmt::format("{} requests answered and {} not in the quiet time after all faults", answered, unanswered));
    }
}

const LedgerCounts &Ledger::counts() const
{
    return m_counts;
}

const std::vector<std::string> &Ledger::violations() const
{
    return m_violations;
}

}
