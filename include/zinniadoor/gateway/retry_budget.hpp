#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

namespace zinniadoor::gateway {

struct RetryBudgetOptions
{
    double ratio = 0.2; ///< Retries per request, over all instances.
    double slack = 0; ///< Additional retries per window, over all instances.
    absl::Duration window = absl::Seconds(10);

    /// Fraction of the slack available at start, and until the number of instances has been set.
    /// Zero for a process that may have peers, or a predecessor whose retries are unknown.
    double startShare = 1;
};

/// Bounds the retries to further endpoints in any window, summed over all instances and over the
/// processes that run on each of them one after the other. Each instance accrues the ratio of its
/// own requests and keeps no more than a short time's worth of it and an equal part of the slack,
/// which needs neither coordination nor memory across restarts. Not thread-safe.
class RetryBudget
{
public:
    explicit RetryBudget(const RetryBudgetOptions &options);

    void setOptions(const RetryBudgetOptions &options) { options_ = options; }
    void setInstances(std::uint32_t instances)
    {
        instances_ = std::max<std::uint32_t>(instances, 1);
    }
    void noteRequest(const std::string &service, absl::Time now);

    /// Consumes one retry if the budget allows it.
    bool take(const std::string &service, absl::Time now);

private:
    struct Service
    {
        std::deque<absl::Time> requests; ///< Of the accrual time.
        double level = 0; ///< Retries available.
    };
    Service &service(const std::string &name);
    double slackShare() const;

    /// Removes what was accrued by requests older than the accrual time.
    void expire(Service &service, absl::Time now) const;

    RetryBudgetOptions options_;
    std::optional<std::uint32_t> instances_; ///< Empty: unknown.
    absl::flat_hash_map<std::string, Service> services_;
};

} // namespace zinniadoor::gateway
