#include "zinniadoor/serving/drain_rate.hpp"

#include <algorithm>
#include <cmath>

namespace zinniadoor::serving {

namespace {

constexpr double MinBusySeconds = 0.001;
constexpr double MinTokens = 1e-6;

} // namespace

DrainRate::DrainRate(absl::Duration window)
    : window_(window)
{ }

DrainRate::Sums DrainRate::sumsAt(absl::Time now) const
{
    if (now <= at_)
        return sums_;
    const double elapsed = at_ == absl::InfinitePast() ? 0 : absl::ToDoubleSeconds(now - at_);
    const double window = absl::ToDoubleSeconds(window_);
    const double kept = std::exp(-elapsed / window);
    Sums sums;
    sums.tokens = sums_.tokens * kept;
    sums.busySeconds = sums_.busySeconds * kept;
    if (busy_)
        sums.busySeconds += window * (1 - kept);
    return sums;
}

void DrainRate::setBusy(bool busy, absl::Time now)
{
    sums_ = sumsAt(now);
    at_ = std::max(at_, now);
    busy_ = busy;
}

void DrainRate::add(std::uint64_t tokens, absl::Time now)
{
    sums_ = sumsAt(now);
    at_ = std::max(at_, now);
    sums_.tokens += static_cast<double>(tokens);
}

std::optional<double> DrainRate::tokensPerSecond(absl::Time now) const
{
    const Sums sums = sumsAt(now);
    if (sums.tokens < MinTokens)
        return std::nullopt;
    return sums.tokens / std::max(sums.busySeconds, MinBusySeconds);
}

absl::Duration DrainRate::timeFor(double tokens, absl::Time now) const
{
    const auto rate = tokensPerSecond(now);
    if (!rate)
        return absl::ZeroDuration();
    return absl::Seconds(tokens / *rate);
}

} // namespace zinniadoor::serving
