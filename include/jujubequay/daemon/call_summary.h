#pragma once

#include <jujubequay/client/caller.h>
#include <jujubequay/client/request.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Jujubequay {

/// What a run of jjq-call saw.
class CallSummary
{
public:
    void addSubmitted();
    void add(const RequestFinished &answered);
    void addFeedPart(RequestTicket feed, std::uint32_t caller, const FeedPartReceived &part);
    void add(const CallerStatistics &statistics);

    /// Ok if every request was answered Ok, else the first other result.
    ResultCode result() const;
    /// Names and values in a fixed order. Latencies in milliseconds, of requests that were answered Ok.
    std::vector<std::pair<std::string, double>> fields() const;
    std::string keyValueText() const;
    std::string jsonText() const;

private:
    double latency(double quantile) const;

    std::uint64_t m_submitted = 0;
    std::uint64_t m_feedParts = 0;
    std::uint64_t m_feedGaps = 0;
    std::uint64_t m_feedRepeats = 0;
    std::map<std::pair<std::uint32_t, RequestTicket>, std::uint64_t> m_positions;
    std::map<ResultCode, std::uint64_t> m_results;
    std::vector<double> m_latencies;
    CallerStatistics m_statistics;
    ResultCode m_firstFailure = ResultCode::Ok;
};

}
