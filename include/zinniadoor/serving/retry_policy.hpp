#pragma once

#include <cstdint>
#include <memory>

#include "absl/time/time.h"

#include "zinniadoor/base/outcome.hpp"

namespace zinniadoor::serving {

/// Properties of a failed call that determine whether it is retried.
struct FailedCall
{
    std::uint32_t attempts = 1; ///< Attempts made so far for this request.
    bool mayHaveRun = true; ///< The endpoint may have received part of the request.
    bool idempotent = false; ///< Safe to execute more than once.
    bool hasStarted = false; ///< Part of the answer was sent; a retry resumes it.
    absl::Time deadline = absl::InfiniteFuture();
    absl::Duration serviceTime; ///< Minimum time of another attempt.
};

struct RetryDecision
{
    bool retry = false;
    absl::Duration backoff; ///< Delay before the next attempt.
    base::Reason reason; ///< Why the call is not retried.
};

struct RetryOptions
{
    std::uint32_t maxAttempts = 3;
    double retryRatio = 0.09; ///< Long-term ratio of retries to calls.
    double initialCredit = 2; ///< Retries allowed before any call was counted.
    double maxCredit = 5; ///< Maximum number of retries saved up.
    double resumeRatio = 0.01; ///< Additional ratio, for resuming started answers only.

    /// Also the initial credit: a failing endpoint breaks many streams at once.
    double maxResumeCredit = 64;
    absl::Duration firstBackoff = absl::Milliseconds(20);
    absl::Duration maxBackoff = absl::Seconds(1);
};

/// Decides whether failed calls are retried. Not thread-safe.
class RetryPolicy
{
public:
    virtual ~RetryPolicy() = default;

    /// Counts the first attempt of a request.
    virtual void noteCall() = 0;

    /// Decides whether to retry and charges the retry to the budget. `seed` randomises the backoff.
    virtual RetryDecision decide(const FailedCall &call, absl::Time now, std::uint64_t seed) = 0;
};

/// Retries immediately, up to the maximum number of attempts.
std::unique_ptr<RetryPolicy> plainRetryPolicy(const RetryOptions &options);

/// Retries within a budget proportional to the number of calls, with jittered exponential backoff.
std::unique_ptr<RetryPolicy> budgetRetryPolicy(const RetryOptions &options);

} // namespace zinniadoor::serving
