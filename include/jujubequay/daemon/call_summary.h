#pragma once

#include <jujubequay/client/caller.h>
#include <jujubequay/client/request.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Jujubequay {

/// Results, latencies and counters of a run of jjq-call.
class CallSummary
{
public:
    void addSubmitted();
    void add(const RequestFinished &answered);
    /// Counts a part of a feed and checks its position against the last part of the same feed. `caller` is the index of the caller.
    void addFeedPart(RequestTicket feed, std::uint32_t caller, const FeedPartReceived &part);
    void add(const CallerStatistics &statistics);

    /// Returns Ok if every answered request had the result Ok, otherwise the first other result.
    ResultCode result() const;
    /// Returns names and values in a fixed order. Latencies are in milliseconds and cover requests with the result Ok.
    std::vector<std::pair<std::string, double>> fields() const;
    std::string keyValueText() const;
    std::string jsonText() const;

private:
    /// Returns a quantile (0 to 1) of the latencies in milliseconds.
    double latency(double quantile) const;

    std::uint64_t m_submitted = 0;
    std::uint64_t m_feedParts = 0;
    std::uint64_t m_feedGaps = 0;
    std::uint64_t m_feedRepeats = 0;
    std::map<std::pair<std::uint32_t, RequestTicket>, std::uint64_t> m_positions; ///< last position by caller and feed
    std::map<ResultCode, std::uint64_t> m_results;
    std::vector<double> m_latencies;
    CallerStatistics m_statistics;
    ResultCode m_firstFailure = ResultCode::Ok;
};

}
