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

// Holds for every policy: a call that may have run is repeated only where that does no harm.
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
        , saved_(options.reserve)
        , savedResumes_(options.maxSavedResumes)
    { }

    void noteCall() override
    {
        saved_ = std::min(saved_ + options_.budget, options_.maxSaved);
        savedResumes_ = std::min(savedResumes_ + options_.resumeBudget, options_.maxSavedResumes);
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
        double &saved = isResume && saved_ < 1 ? savedResumes_ : saved_;
        if (saved < 1)
            return false;
        saved -= 1;
        return true;
    }

    // Doubles with each attempt; spread over half to all of it, so that calls that failed
    // together do not return together.
    absl::Duration backoffAfter(std::uint32_t attempts, std::uint64_t seed) const
    {
        constexpr std::uint32_t MaxDoublings = 16;
        const std::uint32_t doublings = std::min(std::max(attempts, 1U) - 1, MaxDoublings);
        const auto full = std::min(options_.firstBackoff * (1U << doublings), options_.maxBackoff);
        std::mt19937_64 random(seed);
        return full * std::uniform_real_distribution<double>(0.5, 1)(random);
    }

    RetryOptions options_;
    double saved_; ///< Retries that may be made now.
    double savedResumes_; ///< Further ones, of started answers.
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
