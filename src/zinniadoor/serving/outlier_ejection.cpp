#include "zinniadoor/serving/outlier_ejection.hpp"

#include <algorithm>

namespace zinniadoor::serving {

namespace {

constexpr double MeanSmoothing = 0.1;
constexpr double InitialWeight = 0.1;
constexpr std::uint32_t MaxDoublings = 16;
constexpr std::size_t MinEndpointsForMedian = 3;

} // namespace

OutlierEjection::OutlierEjection(const EjectionOptions &options)
    : options_(options)
{ }

void OutlierEjection::setEndpoints(const std::vector<base::EndpointId> &endpoints)
{
    absl::flat_hash_map<base::EndpointId, Health> kept;
    for (const base::EndpointId &endpoint : endpoints)
        kept[endpoint] = endpoints_[endpoint];
    endpoints_ = std::move(kept);
}

void OutlierEjection::noteSuccess(const base::EndpointId &endpoint, absl::Duration firstToken,
                                  absl::Time now)
{
    const auto found = endpoints_.find(endpoint);
    if (found == endpoints_.end())
        return;
    Health &health = found->second;
    health.failures = 0;
    if (weight(endpoint, now) >= 1)
        health.ejections = 0;
    ++health.samples;
    const double step = std::max(MeanSmoothing, 1.0 / health.samples);
    health.meanFirstToken += (firstToken - health.meanFirstToken) * step;
    if (isSlow(health))
        eject(health, now);
}

void OutlierEjection::noteFailure(const base::EndpointId &endpoint, absl::Time now)
{
    const auto found = endpoints_.find(endpoint);
    if (found == endpoints_.end())
        return;
    Health &health = found->second;
    ++health.failures;
    // During ramp-up a single failure ejects again, as the endpoint has not proved healthy yet.
    const bool isRampingUp = health.ejections > 0 && weight(endpoint, now) < 1;
    if (isRampingUp || health.failures >= options_.consecutiveFailures)
        eject(health, now);
}

bool OutlierEjection::isSlow(const Health &health) const
{
    if (health.samples < options_.latencySamples || health.meanFirstToken < options_.latencyFloor)
        return false;
    std::vector<absl::Duration> means;
    for (const auto &[id, other] : endpoints_) {
        if (other.samples >= options_.latencySamples)
            means.push_back(other.meanFirstToken);
    }
    if (means.size() < MinEndpointsForMedian)
        return false;
    const auto middle = means.begin() + static_cast<std::ptrdiff_t>(means.size() / 2);
    std::nth_element(means.begin(), middle, means.end());
    return health.meanFirstToken > *middle * options_.latencyFactor;
}

void OutlierEjection::eject(Health &health, absl::Time now)
{
    if (now < health.ejectedUntil)
        return;
    const auto limit = options_.maxEjectedShare * static_cast<double>(endpoints_.size());
    if (static_cast<double>(ejectedCount(now)) + 1 > limit)
        return;
    const std::uint32_t doublings = std::min(health.ejections, MaxDoublings);
    const auto duration = options_.firstEjection * (1U << doublings);
    health.ejectedUntil = now + std::min(duration, options_.maxEjection);
    ++health.ejections;
    health.failures = 0;
    health.samples = 0;
    health.meanFirstToken = absl::ZeroDuration();
}

double OutlierEjection::weight(const base::EndpointId &endpoint, absl::Time now) const
{
    const auto found = endpoints_.find(endpoint);
    if (found == endpoints_.end() || found->second.ejections == 0)
        return 1;
    const absl::Duration since = now - found->second.ejectedUntil;
    if (since < absl::ZeroDuration())
        return 0;
    const double progress = absl::FDivDuration(since, options_.rampUpTime);
    return std::min(1.0, InitialWeight + (1 - InitialWeight) * progress);
}

std::size_t OutlierEjection::ejectedCount(absl::Time now) const
{
    std::size_t count = 0;
    for (const auto &[id, health] : endpoints_)
        count += now < health.ejectedUntil ? 1 : 0;
    return count;
}

} // namespace zinniadoor::serving
