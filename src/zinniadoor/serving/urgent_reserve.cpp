#include "urgent_reserve.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

#include "stable_digest.hpp"

namespace zinniadoor::serving::detail {

namespace {

std::int64_t urgentWork(const EndpointView &view)
{
    return view.own.urgent + view.peers.urgent;
}

std::size_t reservedCount(const Candidates &suitable, double fill)
{
    double urgent = 0;
    double slots = 0;
    for (const EndpointView *view : suitable) {
        urgent += static_cast<double>(urgentWork(*view));
        slots += view->endpoint.slots;
    }
    if (urgent <= 0 || suitable.size() < 2)
        return 0;
    const double slotsOfOne = slots / static_cast<double>(suitable.size());
    const auto needed = static_cast<std::size_t>(std::ceil(urgent / (slotsOfOne * fill))) + 1;
    // One endpoint remains for deferable work, which would starve otherwise.
    return std::min(needed, suitable.size() - 1);
}

// Reserves regular endpoints before reclaimable ones, then by a digest that is the same on every
// instance.
bool isReservedBefore(const EndpointView *a, const EndpointView *b)
{
    const auto rank = [](const EndpointView *view) {
        const auto digest = extendDigest(EmptyDigest, view->endpoint.id.str());
        return std::make_tuple(view->endpoint.reclaimable, digest, view->endpoint.id);
    };
    return rank(a) < rank(b);
}

/// Moves the reserved endpoints to the front and returns their number.
std::size_t partitionReserved(Candidates &endpoints, double fill)
{
    const std::size_t count = reservedCount(endpoints, fill);
    if (count > 0) {
        const auto middle = endpoints.begin() + static_cast<std::ptrdiff_t>(count);
        std::nth_element(endpoints.begin(), middle, endpoints.end(), isReservedBefore);
    }
    return count;
}

} // namespace

Candidates openToDeferable(const Candidates &suitable, double fill)
{
    Candidates endpoints = suitable;
    const auto reserved = static_cast<std::ptrdiff_t>(partitionReserved(endpoints, fill));
    endpoints.erase(endpoints.begin(), endpoints.begin() + reserved);
    return endpoints;
}

Candidates freeOfDeferable(const Candidates &suitable, double fill)
{
    Candidates endpoints = suitable;
    const auto reserved = static_cast<std::ptrdiff_t>(partitionReserved(endpoints, fill));
    const auto hasDeferable = [](const EndpointView *view) {
        return view->own.requests + view->peers.requests > urgentWork(*view);
    };
    endpoints.erase(std::remove_if(endpoints.begin() + reserved, endpoints.end(), hasDeferable),
                    endpoints.end());
    return endpoints;
}

} // namespace zinniadoor::serving::detail
