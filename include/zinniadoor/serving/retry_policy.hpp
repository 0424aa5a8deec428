#pragma once

#include <cstdint>
#include <memory>

#include "absl/time/time.h"

#include "zinniadoor/base/outcome.hpp"

namespace zinniadoor::serving {

/// A call that failed, as far as the decision to call again goes.
struct FailedCall
{
    std::uint32_t attempts = 1; ///< Calls made so far for this request.
    bool mayHaveRun = true; ///< A byte of it may have reached the endpoint.
    bool idempotent = false; ///< Running it again does no harm.
    bool hasStarted = false; ///< Part of its answer was given out; it would be resumed.
    absl::Time deadline = absl::InfiniteFuture();
    absl::Duration serviceTime; ///< Shortest time another call needs.
};

struct RetryDecision
{
    bool retry = false;
    absl::Duration backoff; ///< Wait before the next call.
    base::Reason reason; ///< Why there is no further call.
};

struct RetryOptions
{
    std::uint32_t maxAttempts = 3;
    double budget = 0.09; ///< Retries per call, in the long run.
    double reserve = 2; ///< Retries allowed before any calls were counted.
    double maxSaved = 5; ///< Retries saved up at most.
    double resumeBudget = 0.01; ///< Further retries per call, for started answers alone.
    double maxSavedResumes = 64; ///< Also held at the start: an endpoint's streams break together.
    absl::Duration firstBackoff = absl::Milliseconds(20);
    absl::Duration maxBackoff = absl::Seconds(1);
};

/// Decides on further calls after failures. For one thread.
class RetryPolicy
{
public:
    virtual ~RetryPolicy() = default;

    /// Counts a first call of a request.
    virtual void noteCall() = 0;

    /// Decides, and counts the retry if there is to be one. `seed` spreads the backoff.
    virtual RetryDecision decide(const FailedCall &call, absl::Time now, std::uint64_t seed) = 0;
};

/// Calls again at once, up to the number of attempts.
std::unique_ptr<RetryPolicy> plainRetryPolicy(const RetryOptions &options);

/// Calls again while a share of all calls is not used up, after a growing, spread backoff.
std::unique_ptr<RetryPolicy> budgetRetryPolicy(const RetryOptions &options);

} // namespace zinniadoor::serving
