#pragma once

#include <algorithm>

#include "absl/time/time.h"

namespace zinniadoor::control {

/// Rounding allowance when a cost is compared with a level.
constexpr double TokenEpsilon = 1e-9;

/// A token bucket driven by the caller's clock.
class TokenBucket
{
public:
    /// `ratePerSecond` and `burst` in tokens.
    TokenBucket(double ratePerSecond, double burst, double level, absl::Time now)
        : rate_(ratePerSecond)
        , burst_(burst)
        , level_(std::min(level, burst))
        , last_(now)
    { }

    double level() const { return level_; }

    void advance(absl::Time now)
    {
        if (now <= last_)
            return;
        level_ = std::min(burst_, level_ + rate_ * absl::ToDoubleSeconds(now - last_));
        last_ = now;
    }

    /// Takes `cost` if the bucket holds it.
    bool spend(double cost, absl::Time now)
    {
        advance(now);
        if (level_ + TokenEpsilon < cost)
            return false;
        level_ -= cost;
        return true;
    }

private:
    double rate_;
    double burst_;
    double level_;
    absl::Time last_;
};

} // namespace zinniadoor::control
