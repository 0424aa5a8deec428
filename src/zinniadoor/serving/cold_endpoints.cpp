#include "zinniadoor/serving/cold_endpoints.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "absl/strings/str_cat.h"

#include "stable_digest.hpp"

namespace zinniadoor::serving {

namespace {

/// Part of the bound that one view of the instances uses. Two views may name different callers; the
/// rest is for calls that arrive closer together than they were sent.
constexpr double BoundShare = 0.45;

/// Calls per second, with the saved one, for which an instance is worth being a caller.
constexpr double CallsPerCaller = 3;

/// Calls that a caller saves up.
constexpr double Capacity = 1;

/// Time over which instances resume their calls to an endpoint that has become warm.
constexpr absl::Duration WarmUpTime = absl::Seconds(1);

/// Oldest record that may still arrive: one is written every 1.2 s and read within a second.
constexpr absl::Duration RecordAge = absl::Seconds(3);

/// Added to the time that an endpoint said it stays cold, for differing speeds of clocks.
constexpr absl::Duration ColdMargin = absl::Milliseconds(100);

} // namespace

void ColdEndpoints::setBounds(const ColdBounds &bounds)
{
    bounds_ = bounds;
    for (auto &[id, endpoint] : endpoints_)
        share(id, endpoint);
}

void ColdEndpoints::setServices(absl::flat_hash_map<std::string, ColdTraits> services,
                                absl::Time now)
{
    services_ = std::move(services);
    shareAll(now);
}

void ColdEndpoints::setInstances(const std::string &self, std::vector<std::string> instances,
                                 absl::Time now)
{
    std::sort(instances.begin(), instances.end());
    if (self == self_ && instances == instances_)
        return;
    self_ = self;
    instances_ = std::move(instances);
    shareAll(now);
}

void ColdEndpoints::shareAll(absl::Time now)
{
    for (auto &[id, endpoint] : endpoints_) {
        endpoint.level = levelAt(endpoint, now);
        endpoint.filledAt = now;
        share(id, endpoint);
    }
}

void ColdEndpoints::share(const base::EndpointId &id, Endpoint &endpoint) const
{
    endpoint.rate = 0;
    endpoint.rank = 1;
    const ColdTraits *traits = traitsOf(endpoint);
    if (!traits || instances_.empty())
        return;
    const auto rankOf = [&](const std::string &instance) {
        return detail::mixedDigest(absl::StrCat(id.str(), "#cold#", instance));
    };
    const auto own = rankOf(self_);
    const auto before = static_cast<double>(
        std::count_if(instances_.begin(), instances_.end(),
                      [&](const std::string &instance) { return rankOf(instance) < own; }));
    const auto count = static_cast<double>(instances_.size());
    const double usable = BoundShare * (traits->perSecond * bounds_.overage + bounds_.slack);
    const double callers = std::clamp(std::floor(usable / CallsPerCaller), 1.0, count);
    if (before < callers)
        endpoint.rate = std::max(0.0, usable / callers - Capacity);
    endpoint.rank = before / count;
}

double ColdEndpoints::levelAt(const Endpoint &endpoint, absl::Time now)
{
    const double seconds = std::max(0.0, absl::ToDoubleSeconds(now - endpoint.filledAt));
    return std::min(Capacity, endpoint.level + endpoint.rate * seconds);
}

const ColdTraits *ColdEndpoints::traitsOf(const Endpoint &endpoint) const
{
    const auto found = services_.find(endpoint.service);
    return found == services_.end() || found->second.perSecond <= 0 ? nullptr : &found->second;
}

absl::Time ColdEndpoints::endOf(const Endpoint &endpoint) const
{
    const ColdTraits *traits = traitsOf(endpoint);
    if (!traits)
        return absl::InfinitePast();
    return std::max(endpoint.coldUntil, endpoint.startedAt + traits->startTime);
}

ColdEndpoints::Endpoint &ColdEndpoints::entry(const base::EndpointId &id,
                                              const std::string &service, absl::Time now)
{
    const auto [it, isNew] = endpoints_.try_emplace(id);
    Endpoint &endpoint = it->second;
    if (isNew || endpoint.service != service) {
        endpoint.service = service;
        endpoint.filledAt = now;
        share(id, endpoint);
    }
    if (!isCold(endpoint, now)) { // Calls made to the warm endpoint were not counted.
        endpoint.level = 0;
        endpoint.filledAt = now;
    }
    return endpoint;
}

void ColdEndpoints::noteStarted(const base::EndpointId &id, const std::string &service,
                                absl::Time now)
{
    entry(id, service, now).startedAt = now;
}

void ColdEndpoints::noteReturned(const base::EndpointId &id, const std::string &service,
                                 absl::Time now)
{
    noteStarted(id, service, now);
    endpoints_[id].recordsTrustedFrom = now + RecordAge;
}

bool ColdEndpoints::noteRecord(const base::EndpointId &id, const std::string &service,
                               absl::Duration left, absl::Time now)
{
    return note(id, service, left, true, now);
}

bool ColdEndpoints::noteAnswer(const base::EndpointId &id, const std::string &service,
                               absl::Duration left, absl::Time now)
{
    return note(id, service, left, false, now);
}

bool ColdEndpoints::note(const base::EndpointId &id, const std::string &service,
                         absl::Duration left, bool inRecord, absl::Time now)
{
    if (left <= absl::ZeroDuration()) {
        const auto found = endpoints_.find(id);
        if (found == endpoints_.end() || !isCold(found->second, now))
            return false;
        Endpoint &endpoint = found->second;
        if (inRecord && now < endpoint.recordsTrustedFrom)
            return false;
        endpoint.startedAt = absl::InfinitePast();
        endpoint.coldUntil = now;
        return true;
    }
    Endpoint &endpoint = entry(id, service, now);
    const bool wasCold = isCold(endpoint, now);
    const absl::Time until = now + left + ColdMargin;
    if (inRecord && now < endpoint.recordsTrustedFrom) {
        endpoint.coldUntil = std::max(endpoint.coldUntil, until);
    } else {
        endpoint.startedAt = absl::InfinitePast();
        endpoint.coldUntil = until;
    }
    if (!inRecord)
        endpoint.recordsTrustedFrom = now + RecordAge;
    return wasCold != isCold(endpoint, now);
}

bool ColdEndpoints::isCold(const base::EndpointId &id, absl::Time now) const
{
    const auto found = endpoints_.find(id);
    return found != endpoints_.end() && isCold(found->second, now);
}

bool ColdEndpoints::isSettling(const base::EndpointId &id, absl::Time now) const
{
    const auto found = endpoints_.find(id);
    return found != endpoints_.end() && traitsOf(found->second)
        && now < found->second.recordsTrustedFrom + RecordAge;
}

std::size_t ColdEndpoints::coldCount(absl::Time now) const
{
    return static_cast<std::size_t>(
        std::count_if(endpoints_.begin(), endpoints_.end(),
                      [&](const auto &entry) { return isCold(entry.second, now); }));
}

absl::Time ColdEndpoints::availableFrom(const base::EndpointId &id, absl::Time now) const
{
    const auto found = endpoints_.find(id);
    if (found == endpoints_.end())
        return now;
    const Endpoint &endpoint = found->second;
    const absl::Time free = endOf(endpoint) + endpoint.rank * WarmUpTime;
    if (now >= free)
        return now;
    if (endpoint.rate <= 0) // Another instance may call it earlier.
        return free - now <= WarmUpTime ? free : absl::InfiniteFuture();
    const double missing = 1 - levelAt(endpoint, now);
    return missing <= 0 ? now : std::min(free, now + absl::Seconds(missing / endpoint.rate));
}

void ColdEndpoints::noteCall(const base::EndpointId &id, absl::Time now)
{
    const auto found = endpoints_.find(id);
    if (found == endpoints_.end())
        return;
    Endpoint &endpoint = found->second;
    // A call beyond the level, of work chosen before, delays later ones by no more than a second.
    endpoint.level = std::max(-endpoint.rate, levelAt(endpoint, now) - 1);
    endpoint.filledAt = now;
}

} // namespace zinniadoor::serving
