#pragma once

#include <cstdint>
#include <optional>

#include "absl/time/time.h"

namespace zinniadoor::serving {

/// Rate at which a queue drains, averaged over the time in which it held something; an idle
/// queue tells nothing about how fast it could drain.
class DrainRate
{
public:
    explicit DrainRate(absl::Duration window);

    /// Tells whether the queue holds something from `now` on.
    void setBusy(bool busy, absl::Time now);

    /// Counts `tokens` that left the queue to run.
    void add(std::uint64_t tokens, absl::Time now);

    /// Tokens a second; nothing before any left.
    std::optional<double> tokensPerSecond(absl::Time now) const;

    /// Time until `tokens` have drained; zero while the rate is unknown.
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
