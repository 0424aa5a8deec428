#include "zinniadoor/gateway/speed_estimate.hpp"

#include <algorithm>

namespace zinniadoor::gateway {

namespace {

/// Weight of a new sample in the running mean.
constexpr double SampleWeight = 0.05;

/// Prompts shorter than this say more about fixed costs than about speed.
constexpr std::uint64_t MinSampleTokens = 4000;

/// Speeds outside these bounds are measuring errors (tokens a millisecond).
constexpr double MinReadSpeed = 10;
constexpr double MaxReadSpeed = 5000;

} // namespace

void SpeedEstimate::noteRead(const std::string &service, std::uint64_t tokens,
                             std::uint64_t waiting, absl::Duration time, bool inPlace)
{
    // In place the speed depends on what else runs; only reading apart is measured.
    if (inPlace || tokens < MinSampleTokens || time <= absl::ZeroDuration())
        return;
    const double sample = static_cast<double>(tokens + waiting) / absl::ToDoubleMilliseconds(time);
    serving::EngineSpeeds &speeds = engines_[service];
    speeds.readTokensPerMs += SampleWeight * (sample - speeds.readTokensPerMs);
    speeds.readTokensPerMs = std::clamp(speeds.readTokensPerMs, MinReadSpeed, MaxReadSpeed);
}

void SpeedEstimate::noteWriting(const std::string &service, absl::Duration time)
{
    absl::Duration &mean = engines_[service].writing;
    mean += SampleWeight * (time - mean);
}

void SpeedEstimate::noteAnswer(const std::string &service, absl::Duration time)
{
    const auto [it, inserted] = answers_.try_emplace(service, time);
    if (!inserted)
        it->second += SampleWeight * (time - it->second);
}

serving::EngineSpeeds SpeedEstimate::engine(const std::string &service) const
{
    const auto found = engines_.find(service);
    return found == engines_.end() ? serving::EngineSpeeds {} : found->second;
}

absl::Duration SpeedEstimate::answerTime(const std::string &service) const
{
    const auto found = answers_.find(service);
    return found == answers_.end() ? absl::ZeroDuration() : found->second;
}

} // namespace zinniadoor::gateway
