#include <jujubequay/daemon/call_summary.h>

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace Jujubequay {

void CallSummary::addSubmitted()
{
    ++m_submitted;
}

void CallSummary::add(const RequestFinished &answered)
{
    ++m_results[answered.result];
    if (answered.result == ResultCode::Ok) {
        m_latencies.push_back(std::chrono::duration<double, std::milli>(answered.duration).count());
    } else if (m_firstFailure == ResultCode::Ok) {
        m_firstFailure = answered.result;
    }
}

void CallSummary::addFeedPart(RequestTicket feed, std::uint32_t caller, const FeedPartReceived &part)
{
    ++m_feedParts;
    const auto [entry, isFirst] = m_positions.try_emplace({caller, feed}, part.position);
    std::uint64_t &lastPosition = entry->second;
    if (isFirst) {
        return;
    }
    // Positions count bytes or records, so a part advances the position by at most its length.
    if (part.position <= lastPosition) {
        ++m_feedRepeats;
    } else if (part.position - lastPosition > std::max<std::uint64_t>(1, part.data.size())) {
        ++m_feedGaps;
    }
    lastPosition = std::max(lastPosition, part.position);
}

void CallSummary::add(const CallerStatistics &statistics)
{
    m_statistics.flowsOpened += statistics.flowsOpened;
    m_statistics.flowsResumed += statistics.flowsResumed;
    m_statistics.flowsLost += statistics.flowsLost;
    m_statistics.openFailures += statistics.openFailures;
    m_statistics.attempts += statistics.attempts;
    m_statistics.retries += statistics.retries;
    m_statistics.retriesDenied += statistics.retriesDenied;
    m_statistics.feedRepeats += statistics.feedRepeats;
    m_statistics.feedGaps += statistics.feedGaps;
}

ResultCode CallSummary::result() const
{
    return m_firstFailure;
}

double CallSummary::latency(double quantile) const
{
    if (m_latencies.empty()) {
        return 0;
    }
    std::vector<double> sorted = m_latencies;
    const auto index = static_cast<std::ptrdiff_t>(std::lround(quantile * static_cast<double>(sorted.size() - 1)));
    std::nth_element(sorted.begin(), sorted.begin() + index, sorted.end());
    return sorted[static_cast<std::size_t>(index)];
}

std::vector<std::pair<std::string, double>> CallSummary::fields() const
{
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    for (const auto &[result, count] : m_results) {
        answered += count;
        refused += isNotRun(result) ? count : 0;
    }
    const auto count = [this](ResultCode code) {
        const auto found = m_results.find(code);
        return found == m_results.end() ? 0.0 : static_cast<double>(found->second);
    };
    return {
        {"flows_opened", static_cast<double>(m_statistics.flowsOpened)},
        {"flows_resumed", static_cast<double>(m_statistics.flowsResumed)},
        {"flows_broken", static_cast<double>(m_statistics.flowsLost)},
        {"flow_open_failures", static_cast<double>(m_statistics.openFailures)},
        {"requests", static_cast<double>(m_submitted)},
        {"answered", static_cast<double>(answered)},
        {"ok", count(ResultCode::Ok)},
        {"refused", static_cast<double>(refused)},
        {"unknown", count(ResultCode::OutcomeUnknown)},
        {"incomplete", count(ResultCode::AnswerIncomplete)},
        {"deadline_exceeded", count(ResultCode::DeadlineExceeded)},
        {"attempts", static_cast<double>(m_statistics.attempts)},
        {"retries", static_cast<double>(m_statistics.retries)},
        {"retries_denied", static_cast<double>(m_statistics.retriesDenied)},
        {"feed_parts", static_cast<double>(m_feedParts)},
        {"feed_gaps", static_cast<double>(m_feedGaps)},
        {"feed_repeats", static_cast<double>(m_feedRepeats)},
        {"feed_gaps_repaired", static_cast<double>(m_statistics.feedGaps)},
        {"feed_repeats_dropped", static_cast<double>(m_statistics.feedRepeats)},
        {"latency_p50_ms", latency(0.5)},
        {"latency_p99_ms", latency(0.99)},
        {"latency_max_ms", latency(1)},
    };
}

std::string CallSummary::keyValueText() const
{
    std::string text;
    for (const auto &[name, value] : fields()) {
        text += fmt::format("{}{}={:.10g}", text.empty() ? "" : " ", name, value);
    }
    return text + '\n';
}

std::string CallSummary::jsonText() const
{
    std::string text;
    for (const auto &[name, value] : fields()) {
        text += fmt::format("{}\"{}\": {:.10g}", text.empty() ? "{" : ", ", name, value);
    }
    return text + "}\n";
}

}
