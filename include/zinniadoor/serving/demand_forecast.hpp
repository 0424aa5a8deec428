#pragma once

#include "absl/time/time.h"

namespace zinniadoor::serving {

/// Short forecast of one rate: smoothed level and trend, and how far off it was of late.
class DemandForecast
{
public:
    explicit DemandForecast(absl::Duration smoothing);

    /// Takes the rate measured since the last call.
    void add(double rate, absl::Time now);

    /// Expected rate after `ahead`; not negative.
    double at(absl::Duration ahead) const;

    /// Mean absolute error of the smoothed level against the measured rates.
    double error() const { return error_; }

private:
    absl::Duration smoothing_;
    absl::Time last_ = absl::InfinitePast();
    double level_ = 0;
    double trend_ = 0; ///< Per second.
    double error_ = 0;
};

} // namespace zinniadoor::serving
