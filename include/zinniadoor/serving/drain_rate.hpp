#pragma once

#include <cstdint>
#include <optional>

#include "absl/time/time.h"

namespace zinniadoor::serving {

/// Rate at which a queue drains, averaged over its busy time only: an idle queue gives no
/// information about the achievable rate.
class DrainRate
{
public:
    explicit DrainRate(absl::Duration window);

    /// Sets whether the queue is non-empty from `now` on.
    void setBusy(bool busy, absl::Time now);

    /// Counts `tokens` of a request that was dispatched.
    void add(std::uint64_t tokens, absl::Time now);

    /// Tokens per second; empty before the first dispatch.
    std::optional<double> tokensPerSecond(absl::Time now) const;

    /// Estimated time to drain `tokens`; zero while the rate is unknown.
    absl::Duration timeFor(double tokens, absl::Time now) const;

private:
    struct Sums
    {
        double tokens = 0;
        double busySeconds = 0;
    };
    Sums sumsAt(absl::Time now) const;

    absl::Duration window_;
    Sums sums_;
    absl::Time at_ = absl::InfinitePast();
    bool busy_ = false;
};

} // namespace zinniadoor::serving
