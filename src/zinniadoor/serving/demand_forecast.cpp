#include "zinniadoor/serving/demand_forecast.hpp"

#include <algorithm>
#include <cmath>

namespace zinniadoor::serving {

namespace {

/// The trend is averaged over this many times the level's smoothing.
constexpr double TrendSmoothing = 2;
constexpr double ErrorSmoothing = 4;

/// Share of the trend that the forecast trusts: a step looks like a slope for a while.
constexpr double TrendTrust = 0.5;

double stepOf(double elapsedSeconds, double smoothingSeconds)
{
    return 1 - std::exp(-elapsedSeconds / smoothingSeconds);
}

} // namespace

DemandForecast::DemandForecast(absl::Duration smoothing)
    : smoothing_(smoothing)
{ }

void DemandForecast::add(double rate, absl::Time now)
{
    if (last_ == absl::InfinitePast()) {
        level_ = rate;
        last_ = now;
        return;
    }
    const double elapsed = absl::ToDoubleSeconds(now - last_);
    if (elapsed <= 0)
        return;
    last_ = now;
    const double smoothing = absl::ToDoubleSeconds(smoothing_);
    const double expected = level_ + TrendTrust * trend_ * elapsed;
    const double miss = rate - expected;
    error_ += (std::abs(miss) - error_) * stepOf(elapsed, smoothing * ErrorSmoothing);
    const double before = level_;
    level_ = expected + miss * stepOf(elapsed, smoothing);
    const double slope = (level_ - before) / elapsed;
    trend_ += (slope - trend_) * stepOf(elapsed, smoothing * TrendSmoothing);
}

double DemandForecast::at(absl::Duration ahead) const
{
    return std::max(0.0, level_ + TrendTrust * trend_ * absl::ToDoubleSeconds(ahead));
}

} // namespace zinniadoor::serving
