#include "zinniadoor/serving/demand_forecast.hpp"

#include <algorithm>
#include <cmath>

namespace zinniadoor::serving {

namespace {

/// Smoothing times of trend and error, relative to that of the level.
constexpr double TrendSmoothing = 2;
constexpr double ErrorSmoothing = 4;

/// Damping of the trend in the forecast: a step initially looks like a slope.
constexpr double TrendDamping = 0.5;

double smoothingFactor(double elapsedSeconds, double smoothingSeconds)
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
    const double expected = level_ + TrendDamping * trend_ * elapsed;
    const double deviation = rate - expected;
    error_ += (std::abs(deviation) - error_) * smoothingFactor(elapsed, smoothing * ErrorSmoothing);
    const double previousLevel = level_;
    level_ = expected + deviation * smoothingFactor(elapsed, smoothing);
    const double slope = (level_ - previousLevel) / elapsed;
    trend_ += (slope - trend_) * smoothingFactor(elapsed, smoothing * TrendSmoothing);
}

double DemandForecast::at(absl::Duration ahead) const
{
    return std::max(0.0, level_ + TrendDamping * trend_ * absl::ToDoubleSeconds(ahead));
}

} // namespace zinniadoor::serving
