#pragma once

#include <algorithm>

#include "absl/time/time.h"

namespace zinniadoor::control {

/// Tolerance for rounding when a cost is compared with a level.
constexpr double TokenEpsilon = 1e-9;

/// Token bucket driven by the caller's clock.
class TokenBucket
{
public:
    /// `ratePerSecond` in tokens per second, `burst` and `level` in tokens.
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

    /// Removes `cost` tokens; false if the level is lower.
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
