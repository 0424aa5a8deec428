#include "zinniadoor/gateway/speed_estimate.hpp"

#include <algorithm>

namespace zinniadoor::gateway {

namespace {

/// Weight of a new sample in the running mean.
constexpr double SampleWeight = 0.05;

/// Prompts shorter than this say more about fixed costs than about speed.
constexpr std::uint64_t MinSampleTokens = 2000;

/// Speeds outside these bounds are measuring errors (tokens a millisecond).
constexpr double MinReadSpeed = 10;
constexpr double MaxReadSpeed = 5000;

/// The first samples count in full, so that a wrong start is forgotten at once.
double weightOf(std::uint32_t samples)
{
    return std::max(SampleWeight, 1.0 / samples);
}

} // namespace

void SpeedEstimate::RunningMean::note(absl::Duration sample, absl::Duration &mean)
{
    mean += weightOf(++samples) * (sample - mean);
}

void SpeedEstimate::noteRead(const std::string &service, std::uint64_t tokens,
                             std::uint64_t waiting, absl::Duration time)
{
    if (time <= absl::ZeroDuration())
        return;
    Engines &known = engines_[service];
    if (tokens < MinSampleTokens) {
        const auto reading = absl::Milliseconds(static_cast<double>(tokens + waiting)
                                                / known.speeds.prefillTokensPerMs);
        known.readOverhead.note(std::max(absl::ZeroDuration(), time - reading),
                                known.speeds.remotePrefillOverhead);
        return;
    }
    known.readSamples += 1;
    const double sample
        = std::clamp(static_cast<double>(tokens + waiting) / absl::ToDoubleMilliseconds(time),
                     MinReadSpeed, MaxReadSpeed);
    known.speeds.prefillTokensPerMs
        += weightOf(known.readSamples) * (sample - known.speeds.prefillTokensPerMs);
}

void SpeedEstimate::noteInPlace(const std::string &service, std::uint64_t tokens,
                                absl::Duration time)
{
    if (tokens >= MinSampleTokens)
        return;
    Engines &known = engines_[service];
    const double speed = known.speeds.prefillTokensPerMs * known.speeds.localPrefillSpeedRatio;
    const auto reading = absl::Milliseconds(static_cast<double>(tokens) / speed);
    known.inPlaceOverhead.note(std::max(absl::ZeroDuration(), time - reading),
                               known.speeds.localPrefillOverhead);
}

void SpeedEstimate::noteWriting(const std::string &service, absl::Duration time)
{
    Engines &known = engines_[service];
    known.writing.note(time, known.speeds.decodeTime);
}

void SpeedEstimate::noteFirstStep(const std::string &service, absl::Duration time)
{
    Engines &known = engines_[service];
    known.firstStep.note(time, known.speeds.handoffTime);
}

void SpeedEstimate::noteAnswer(const std::string &service, absl::Duration time)
{
    const auto [it, inserted] = answers_.try_emplace(service, time);
    if (!inserted)
        it->second += SampleWeight * (time - it->second);
}

serving::EngineTimings SpeedEstimate::engine(const std::string &service) const
{
    const auto found = engines_.find(service);
    return found == engines_.end() ? serving::EngineTimings {} : found->second.speeds;
}

absl::Duration SpeedEstimate::answerTime(const std::string &service) const
{
    const auto found = answers_.find(service);
    return found == answers_.end() ? absl::ZeroDuration() : found->second;
}

} // namespace zinniadoor::gateway
