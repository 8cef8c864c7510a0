#pragma once

#include <jujubequay/core/clock.h>
#include <jujubequay/core/result_code.h>

#include <cstdint>
#include <random>

namespace Jujubequay {

/// What a caller may do after a failed attempt.
enum class RetryRule : std::uint8_t {
    Never, ///< do not retry; the result is final
    OtherServer, ///< retry immediately on a flow to another server
    AfterDelay, ///< retry on any flow after RetryBudget::delay
};

/// A request that may have run is retried only if it is idempotent. A request that did not run is always retried, unless every
/// server would refuse it for the same reason.
RetryRule retryRule(ResultCode code, bool idempotent);

struct RetryBudgetOptions {
    double tokensPerRequest = 0.1; ///< long-term limit of the ratio of retries to requests
    double maxTokens = 10; ///< capacity of the bucket, which starts full
    Duration baseDelay = std::chrono::milliseconds(50);
    Duration maxDelay = std::chrono::seconds(5);
};

/// Token bucket that limits the retries of one caller, so that retries cannot amplify an overload.
///
///     budget.recordRequest();
///     if (retryRule(code, idempotent) == RetryRule::AfterDelay && budget.tryTakeToken()) {
///         retryAt = now + budget.delay(attempt, retryAfter, random);
///     }
class RetryBudget
{
public:
    RetryBudget();
    explicit RetryBudget(RetryBudgetOptions options);

    /// Adds tokens for a request. Call it for the first attempt only.
    void recordRequest();
    /// Takes a token for one retry; false if there is none. No token is needed when a server moves a request to another flow,
    /// because this happens at most once for each request.
    bool tryTakeToken();
    /// Delay before a retry: `retryAfter` of the server plus full jitter, a random time between zero and a bound that doubles with
    /// each attempt. `attempt` is 1 for the first retry.
    Duration delay(std::uint32_t attempt, Duration retryAfter, std::mt19937_64 &random) const;

private:
    RetryBudgetOptions m_options;
    double m_tokens;
};

}
