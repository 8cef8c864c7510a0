#pragma once

#include <jujubequay/core/clock.h>
#include <jujubequay/core/result_code.h>

#include <cstdint>
#include <random>

namespace Jujubequay {

/// What a caller may do after a failed attempt.
enum class RetryRule : std::uint8_t {
    Never, ///< report the result
    Elsewhere, ///< at once on a flow to another server
    AfterDelay, ///< after the delay that RetryBudget gives, on any flow
};

/// Work that may have run is repeated only if it is idempotent; work that did not run is repeated always, unless the
/// refusal would be the same everywhere.
RetryRule retryRule(ResultCode code, bool idempotent);

struct RetryBudgetOptions {
    double tokensPerRequest = 0.1; ///< retries are at most this share of requests in the long run
    double maxTokens = 10; ///< also the number of tokens at the start
    Duration baseDelay = std::chrono::milliseconds(50);
    Duration maxDelay = std::chrono::seconds(5);
};

/// Token bucket that limits the retries of one caller, so that retries cannot multiply an overload.
///
///     budget.requestSent();
///     if (retryRule(code, idempotent) == RetryRule::AfterDelay && budget.tryTake()) {
///         retryAt = now + budget.delay(attempt, retryAfter, random);
///     }
class RetryBudget
{
public:
    RetryBudget();
    explicit RetryBudget(RetryBudgetOptions options);

    /// A first attempt was sent.
    void requestSent();
    /// Takes a token for one retry; false if there is none. A move to the other flow that a server asked for takes none:
    /// there is at most one for each request.
    bool tryTake();
    /// Full jitter: uniform between zero and an exponentially rising bound, after the server's hint. `attempt` is 1 for
    /// the first retry.
    Duration delay(std::uint32_t attempt, Duration retryAfter, std::mt19937_64 &random) const;

private:
    RetryBudgetOptions m_options;
    double m_tokens;
};

}
