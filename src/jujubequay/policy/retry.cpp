#include <jujubequay/policy/retry.h>

#include <algorithm>

namespace Jujubequay {

RetryRule retryRule(ResultCode code, bool idempotent)
{
    switch (code) {
    case ResultCode::NotRunMoved:
    case ResultCode::NotRunUnavailable:
        return RetryRule::OtherServer;
    case ResultCode::NotRunOverloaded:
        return RetryRule::AfterDelay;
    case ResultCode::Moved:
        return idempotent ? RetryRule::OtherServer : RetryRule::Never;
    case ResultCode::OutcomeUnknown:
    case ResultCode::AnswerIncomplete:
    case ResultCode::BackendFailed:
    case ResultCode::ConnectionLost:
    case ResultCode::Timeout:
        return idempotent ? RetryRule::AfterDelay : RetryRule::Never;
    default:
        return RetryRule::Never;
    }
}

RetryBudget::RetryBudget()
    : RetryBudget(RetryBudgetOptions{})
{
}

RetryBudget::RetryBudget(RetryBudgetOptions options)
    : m_options(options)
    , m_tokens(options.maxTokens)
{
}

void RetryBudget::recordRequest()
{
    m_tokens = std::min(m_options.maxTokens, m_tokens + m_options.tokensPerRequest);
}

bool RetryBudget::tryTakeToken()
{
    if (m_tokens < 1) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

Duration RetryBudget::delay(std::uint32_t attempt, Duration retryAfter, std::mt19937_64 &random) const
{
    // After 20 doublings the bound exceeds the maximum; more doublings could overflow.
    const std::uint32_t doublings = std::min(attempt == 0 ? 0U : attempt - 1, 20U);
    const Duration bound = std::min(m_options.maxDelay, m_options.baseDelay * (std::int64_t{1} << doublings));
    return retryAfter + Duration(std::uniform_int_distribution<Duration::rep>(0, bound.count())(random));
}

}
