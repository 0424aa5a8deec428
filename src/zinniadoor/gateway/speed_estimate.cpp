#include "zinniadoor/gateway/speed_estimate.hpp"

#include <algorithm>

namespace zinniadoor::gateway {

namespace {

/// Smoothing factor of the moving averages.
constexpr double SampleWeight = 0.05;

/// The time of shorter prompts is dominated by fixed costs; they update the overhead instead.
constexpr std::uint64_t MinSampleTokens = 2000;

/// Bounds in tokens per millisecond; samples outside are measurement errors.
constexpr double MinPrefillSpeed = 10;
constexpr double MaxPrefillSpeed = 5000;

/// Plain mean for the first samples, so that a wrong initial value is replaced at once.
double weightOf(std::uint32_t samples)
{
    return std::max(SampleWeight, 1.0 / samples);
}

} // namespace

void SpeedEstimate::RunningMean::note(absl::Duration sample, absl::Duration &mean)
{
    mean += weightOf(++samples) * (sample - mean);
}

void SpeedEstimate::notePrefill(const std::string &service, std::uint64_t tokens,
                                std::uint64_t waiting, absl::Duration time)
{
    if (time <= absl::ZeroDuration())
        return;
    Engines &estimate = engines_[service];
    if (tokens < MinSampleTokens) {
        const auto prefill = absl::Milliseconds(static_cast<double>(tokens + waiting)
                                                / estimate.speeds.prefillTokensPerMs);
        estimate.prefillOverhead.note(std::max(absl::ZeroDuration(), time - prefill),
                                      estimate.speeds.remotePrefillOverhead);
        return;
    }
    estimate.prefillSamples += 1;
    const double sample
        = std::clamp(static_cast<double>(tokens + waiting) / absl::ToDoubleMilliseconds(time),
                     MinPrefillSpeed, MaxPrefillSpeed);
    estimate.speeds.prefillTokensPerMs
        += weightOf(estimate.prefillSamples) * (sample - estimate.speeds.prefillTokensPerMs);
}

void SpeedEstimate::noteLocalPrefill(const std::string &service, std::uint64_t tokens,
                                     absl::Duration time)
{
    if (tokens >= MinSampleTokens)
        return;
    Engines &estimate = engines_[service];
    const double speed
        = estimate.speeds.prefillTokensPerMs * estimate.speeds.localPrefillSpeedRatio;
    const auto prefill = absl::Milliseconds(static_cast<double>(tokens) / speed);
    estimate.localPrefillOverhead.note(std::max(absl::ZeroDuration(), time - prefill),
                                       estimate.speeds.localPrefillOverhead);
}

void SpeedEstimate::noteDecode(const std::string &service, absl::Duration time)
{
    Engines &estimate = engines_[service];
    estimate.decode.note(time, estimate.speeds.decodeTime);
}

void SpeedEstimate::noteFirstStep(const std::string &service, absl::Duration time)
{
    Engines &estimate = engines_[service];
    estimate.firstStep.note(time, estimate.speeds.handoffTime);
}

void SpeedEstimate::forget(const std::string &service)
{
    engines_.erase(service);
}

serving::EngineTimings SpeedEstimate::engine(const std::string &service) const
{
    const auto found = engines_.find(service);
    return found == engines_.end() ? serving::EngineTimings {} : found->second.speeds;
}

} // namespace zinniadoor::gateway
