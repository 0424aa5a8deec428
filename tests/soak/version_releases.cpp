#include "soak/version_releases.hpp"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace zinniadoor::soak {

namespace {

constexpr std::size_t EndpointCount = 5;
constexpr std::size_t MinServing = 2;

} // namespace

VersionReleases::VersionReleases(standins::FleetStandin &platform, std::size_t instances,
                                 std::size_t instancesPerDataCentre, std::uint32_t seed,
                                 InstanceFaults faults)
    : platform_(platform)
    , instances_(instances)
    , instancesPerDataCentre_(instancesPerDataCentre)
    , random_(seed)
    , faults_(std::move(faults))
{
    for (std::size_t i = 0; i < EndpointCount; ++i)
        startEndpoint();
}

void VersionReleases::step()
{
    const Time now = std::chrono::steady_clock::now();
    if (dueAt_ == Time()) { // The first release follows soon after the lead-in.
        harmAt_ = now;
        dueAt_ = now + randomDelay(50, 400);
    }
    unlistDue(now);
    if (now >= harmAt_) {
        harmInstances();
        harmAt_ = Time::max();
    }
    if (now < dueAt_)
        return;
    if (random_() % 4 == 0)
        crashOne();
    if (!isReleasing_)
        beginRelease();
    replaceSome();
    const bool hasOld = std::any_of(endpoints_.begin(), endpoints_.end(),
                                    [](const Endpoint &one) { return one.isOld; });
    isReleasing_ = hasOld;
    dueAt_ = now + (hasOld ? randomDelay(50, 500) : randomDelay(500, 1500));
    if (!hasOld)
        harmAt_ = dueAt_ - randomDelay(0, 400);
}

void VersionReleases::stop()
{
    while (serving() < MinServing)
        startEndpoint();
    unlistDue(Time::max());
}

// Only before the first release can the instances have concluded that there is a single version.
void VersionReleases::harmInstances()
{
    const bool isFirst = release_ == 0;
    // At first all data centres but one: instances of one pass the store's logs on to each other,
    // and those that have old lists need to be asked about streams that they have no note of.
    const std::size_t step = isFirst ? instancesPerDataCentre_ : 1;
    const std::size_t first = random_() % (instances_ / step) * step;
    const std::size_t length = isFirst ? instances_ - step : random_() % instances_; // Or none.
    const std::uint32_t kind = random_() % 3;
    const bool freezes = isFirst || kind != 0;
    const bool cuts = isFirst || kind != 1;
    const auto time = randomDelay(isFirst ? 1800 : 500, 3500); // They all go on at the same time.
    // Their lists stay old for a while after they go on.
    const auto cutTime = freezes ? time + randomDelay(200, 1500) : time;
    for (std::size_t i = 0; i < length; ++i) {
        const std::size_t instance = (first + i) % instances_;
        if (cuts)
            faults_.cutFromStore(instance, cutTime);
        if (freezes)
            faults_.freeze(instance, time);
    }
}

void VersionReleases::beginRelease()
{
    ++release_;
    isReleasing_ = true;
    for (Endpoint &endpoint : endpoints_)
        endpoint.isOld = !endpoint.isDraining && !endpoint.isCrashed;
}

void VersionReleases::replaceSome()
{
    std::size_t replaced = 1 + random_() % 3;
    for (std::size_t i = 0; i < endpoints_.size() && replaced > 0; ++i) {
        if (!endpoints_[i].isOld)
            continue;
        --replaced;
        startEndpoint();
        drain(endpoints_[i], std::chrono::steady_clock::now() + randomDelay(200, 1500));
    }
    while (serving() < EndpointCount) // Also in place of those that crashed.
        startEndpoint();
}

void VersionReleases::startEndpoint()
{
    const std::string version = absl::StrCat("v", release_ + 1);
    Endpoint endpoint;
    for (;;) {
        endpoint.id = absl::StrCat("released-", started_++);
        endpoint.address = platform_.startEndpoint(endpoint.id);
        // Else, who has an old list could reach it in place of an endpoint of another version.
        if (addresses_.insert(endpoint.address).second)
            break;
        platform_.crashEndpoint(endpoint.id);
    }
    versions_[endpoint.id] = version;
    platform_.setVersion(endpoint.id, version);
    platform_.listEndpoint(endpoint.id, Service, "ready", endpoint.address);
    endpoints_.push_back(std::move(endpoint));
}

void VersionReleases::drain(Endpoint &endpoint, Time unlistAt)
{
    platform_.listEndpoint(endpoint.id, Service, "draining", endpoint.address);
    endpoint.isOld = false;
    endpoint.isDraining = true;
    endpoint.unlistAt = unlistAt;
}

// With what it does at that time. Its record stays for a while.
void VersionReleases::crashOne()
{
    Endpoint &endpoint = endpoints_[random_() % endpoints_.size()];
    const auto delay = randomDelay(100, 1500);
    if (endpoint.isCrashed || (!endpoint.isDraining && serving() <= MinServing))
        return;
    crash(endpoint);
    endpoint.isOld = false;
    endpoint.unlistAt = std::min(endpoint.unlistAt, std::chrono::steady_clock::now() + delay);
}

void VersionReleases::crash(Endpoint &endpoint)
{
    platform_.crashEndpoint(endpoint.id);
    endpoint.isCrashed = true;
}

void VersionReleases::unlistDue(Time now)
{
    const auto isDue
        = [now](const Endpoint &one) { return one.unlistAt != Time::max() && one.unlistAt <= now; };
    for (Endpoint &endpoint : endpoints_) {
        if (!isDue(endpoint))
            continue;
        platform_.unlistEndpoint(endpoint.id);
        if (!endpoint.isCrashed)
            crash(endpoint);
    }
    endpoints_.erase(std::remove_if(endpoints_.begin(), endpoints_.end(), isDue), endpoints_.end());
}

std::size_t VersionReleases::serving() const
{
    return static_cast<std::size_t>(
        std::count_if(endpoints_.begin(), endpoints_.end(),
                      [](const Endpoint &one) { return !one.isDraining && !one.isCrashed; }));
}

std::chrono::milliseconds VersionReleases::randomDelay(std::uint32_t minMs, std::uint32_t maxMs)
{
    return std::chrono::milliseconds(minMs + random_() % (maxMs - minMs));
}

} // namespace zinniadoor::soak
