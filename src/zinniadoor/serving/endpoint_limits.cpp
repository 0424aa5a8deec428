#include "zinniadoor/serving/endpoint_limits.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "absl/container/flat_hash_set.h"
#include "absl/strings/str_cat.h"

#include "stable_digest.hpp"

namespace zinniadoor::serving {

namespace {

/// Number of instances that may call a limited endpoint, per call a second of its limit, in
/// addition to the first. Each may have saved up one call, so this bounds a burst of all.
constexpr double CallersPerLimit = 1.5;

/// Unused calls are kept for this time.
constexpr double BurstSeconds = 1;

/// Limits are reported to others for this time after an answer.
constexpr absl::Duration ReportTime = absl::Seconds(1);

/// The end of a limit is reported for this time.
constexpr absl::Duration EndReportTime = absl::Seconds(5);

/// Time without an answer from an endpoint after which an instance that may not call it makes a
/// probe. All instances together use no more than this share of the limit for probes.
constexpr absl::Duration MinProbeInterval = absl::Seconds(30);
constexpr absl::Duration MaxProbeInterval = absl::Minutes(10);
constexpr double ProbeShare = 0.1;

} // namespace

void EndpointLimits::setInstances(const std::string &self, std::vector<std::string> instances,
                                  absl::Time now)
{
    std::sort(instances.begin(), instances.end());
    if (self == self_ && instances == instances_)
        return;
    self_ = self;
    instances_ = std::move(instances);
    for (auto &[endpoint, limit] : limits_) {
        limit.level = levelAt(limit, now);
        limit.filledAt = now;
        limit.rate = limit.perSecond ? rateOf(endpoint, *limit.perSecond) : 0;
    }
}

void EndpointLimits::setEndpoints(const std::vector<base::EndpointId> &endpoints)
{
    const absl::flat_hash_set<base::EndpointId> kept(endpoints.begin(), endpoints.end());
    absl::erase_if(limits_, [&](const auto &entry) { return !kept.contains(entry.first); });
}

double EndpointLimits::rateOf(const base::EndpointId &endpoint, double perSecond) const
{
    if (instances_.empty())
        return 0;
    const auto rankOf = [&](const std::string &instance) {
        return detail::mixedDigest(absl::StrCat(endpoint.str(), "#", instance));
    };
    const auto own = rankOf(self_);
    const auto before = static_cast<double>(
        std::count_if(instances_.begin(), instances_.end(),
                      [&](const std::string &instance) { return rankOf(instance) < own; }));
    const double callers = std::min(static_cast<double>(instances_.size()),
                                    1 + std::floor(CallersPerLimit * perSecond));
    return before < callers ? perSecond / callers : 0;
}

bool EndpointLimits::note(const base::EndpointId &endpoint, std::optional<double> perSecond,
                          absl::Time answeredAt, absl::Time now)
{
    if (!perSecond && !limits_.contains(endpoint))
        return false;
    const auto [it, isNew] = limits_.try_emplace(endpoint);
    Limit &limit = it->second;
    if (!isNew && answeredAt < limit.answeredAt)
        return false;
    limit.answeredAt = answeredAt;
    if (!isNew && limit.perSecond == perSecond)
        return false;
    // Calls made without a limit were not counted.
    limit.level = limit.perSecond ? levelAt(limit, now) : 0;
    limit.perSecond = perSecond;
    limit.changedAt = now;
    limit.filledAt = now;
    limit.rate = perSecond ? rateOf(endpoint, *perSecond) : 0;
    return true;
}

double EndpointLimits::levelAt(const Limit &limit, absl::Time now) const
{
    const double capacity = std::max(1.0, limit.rate * BurstSeconds);
    const double seconds = std::max(0.0, absl::ToDoubleSeconds(now - limit.filledAt));
    return std::min(capacity, limit.level + limit.rate * seconds);
}

absl::Time EndpointLimits::nextProbe(const Limit &limit) const
{
    const double perSecond = std::max(*limit.perSecond, 1e-6);
    const absl::Duration interval
        = absl::Seconds(static_cast<double>(instances_.size()) / (ProbeShare * perSecond));
    return std::max(limit.answeredAt, limit.calledAt)
        + std::clamp(interval, MinProbeInterval, MaxProbeInterval);
}

bool EndpointLimits::mayCall(const base::EndpointId &endpoint, absl::Time now) const
{
    return availableFrom(endpoint, now) <= now;
}

absl::Time EndpointLimits::availableFrom(const base::EndpointId &endpoint, absl::Time now) const
{
    const auto found = limits_.find(endpoint);
    if (found == limits_.end() || !found->second.perSecond)
        return now;
    const Limit &limit = found->second;
    if (limit.rate <= 0)
        return now >= nextProbe(limit) ? now : absl::InfiniteFuture();
    const double missing = 1 - levelAt(limit, now);
    return missing <= 0 ? now : now + absl::Seconds(missing / limit.rate);
}

void EndpointLimits::noteCall(const base::EndpointId &endpoint, absl::Time now)
{
    const auto found = limits_.find(endpoint);
    if (found == limits_.end() || !found->second.perSecond)
        return;
    Limit &limit = found->second;
    limit.level = levelAt(limit, now) - 1;
    limit.filledAt = now;
    limit.calledAt = now;
}

std::vector<LimitReport> EndpointLimits::reports(absl::Time now) const
{
    std::vector<LimitReport> reports;
    for (const auto &[endpoint, limit] : limits_) {
        const bool isReported = limit.perSecond || now - limit.changedAt < EndReportTime;
        if (isReported && now - limit.answeredAt < ReportTime)
            reports.push_back({ endpoint, limit.perSecond, now - limit.answeredAt });
    }
    return reports;
}

} // namespace zinniadoor::serving
