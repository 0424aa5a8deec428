#pragma once

#include "absl/time/time.h"

namespace zinniadoor::serving {

/// Short-term forecast of a rate by exponential smoothing of level and trend, with a recent mean
/// error.
class DemandForecast
{
public:
    explicit DemandForecast(absl::Duration smoothing);

    /// Adds the rate measured since the last call.
    void add(double rate, absl::Time now);

    /// Forecast rate at `ahead` from the last sample; never negative.
    double at(absl::Duration ahead) const;

    /// Smoothed mean absolute error of the one-step forecast.
    double error() const { return error_; }

private:
    absl::Duration smoothing_;
    absl::Time last_ = absl::InfinitePast();
    double level_ = 0;
    double trend_ = 0; ///< Per second.
    double error_ = 0;
};

} // namespace zinniadoor::serving
