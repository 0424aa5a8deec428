#include "zinniadoor/serving/retry_policy.hpp"

#include <algorithm>
#include <random>

namespace zinniadoor::serving {

namespace {

RetryDecision refused(base::ReasonCode code, const char *text)
{
    RetryDecision decision;
    decision.reason = { code, text };
    return decision;
}

// Applies to all policies: a call that may have run is repeated only if it is idempotent.
bool isRepeatable(const FailedCall &call)
{
    return !call.mayHaveRun || call.idempotent;
}

class PlainRetryPolicy : public RetryPolicy
{
public:
    explicit PlainRetryPolicy(const RetryOptions &options)
        : options_(options)
    { }

    void noteCall() override { }

    RetryDecision decide(const FailedCall &call, absl::Time now, std::uint64_t /*seed*/) override
    {
        if (!isRepeatable(call))
            return refused(base::ReasonCode::OutcomeUnknown, "the call may have run");
        if (call.attempts >= options_.maxAttempts)
            return refused(base::ReasonCode::Unavailable, "all attempts failed");
        if (now + call.serviceTime > call.deadline)
            return refused(base::ReasonCode::Timeout, "no time left for another attempt");
        RetryDecision decision;
        decision.retry = true;
        return decision;
    }

private:
    RetryOptions options_;
};

class BudgetRetryPolicy : public RetryPolicy
{
public:
    explicit BudgetRetryPolicy(const RetryOptions &options)
        : options_(options)
        , credit_(options.initialCredit)
        , resumeCredit_(options.maxResumeCredit)
    { }

    void noteCall() override
    {
        credit_ = std::min(credit_ + options_.retryRatio, options_.maxCredit);
        resumeCredit_ = std::min(resumeCredit_ + options_.resumeRatio, options_.maxResumeCredit);
    }

    RetryDecision decide(const FailedCall &call, absl::Time now, std::uint64_t seed) override
    {
        if (!isRepeatable(call))
            return refused(base::ReasonCode::OutcomeUnknown, "the call may have run");
        if (call.attempts >= options_.maxAttempts)
            return refused(base::ReasonCode::Unavailable, "all attempts failed");
        const absl::Duration backoff = backoffAfter(call.attempts, seed);
        if (now + backoff + call.serviceTime > call.deadline)
            return refused(base::ReasonCode::Timeout, "no time left for another attempt");
        if (!spend(call.hasStarted))
            return refused(base::ReasonCode::Unavailable, "the retry budget is used up");
        RetryDecision decision;
        decision.retry = true;
        decision.backoff = backoff;
        return decision;
    }

private:
    bool spend(bool isResume)
    {
        double &credit = isResume && credit_ < 1 ? resumeCredit_ : credit_;
        if (credit < 1)
            return false;
        credit -= 1;
        return true;
    }

    // Exponential back-off with jitter of up to half, so that calls that failed together are not
    // retried together.
    absl::Duration backoffAfter(std::uint32_t attempts, std::uint64_t seed) const
    {
        constexpr std::uint32_t MaxDoublings = 16;
        const std::uint32_t doublings = std::min(std::max(attempts, 1U) - 1, MaxDoublings);
        const auto full = std::min(options_.firstBackoff * (1U << doublings), options_.maxBackoff);
        std::mt19937_64 random(seed);
        return full * std::uniform_real_distribution<double>(0.5, 1)(random);
    }

    RetryOptions options_;
    double credit_; ///< Retries available now.
    double resumeCredit_; ///< Additional retries for started answers.
};

} // namespace

std::unique_ptr<RetryPolicy> plainRetryPolicy(const RetryOptions &options)
{
    return std::make_unique<PlainRetryPolicy>(options);
}

std::unique_ptr<RetryPolicy> budgetRetryPolicy(const RetryOptions &options)
{
    return std::make_unique<BudgetRetryPolicy>(options);
}

} // namespace zinniadoor::serving
