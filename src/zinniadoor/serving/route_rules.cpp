#include "route_rules.hpp"

#include <algorithm>

namespace zinniadoor::serving::detail {

namespace {

bool serves(const EndpointView &view, const base::ModelId &model)
{
    const auto &models = view.endpoint.models;
    return std::find(models.begin(), models.end(), model) != models.end();
}

bool roleMatches(control::Role role, Phase phase)
{
    switch (phase) {
    case Phase::Whole:
        return true;
    case Phase::Prefill:
        return role != control::Role::Decode;
    case Phase::Decode:
        return role != control::Role::Prefill;
    }
    return false;
}

bool contains(const std::vector<base::EndpointId> &endpoints, const base::EndpointId &endpoint)
{
    return std::find(endpoints.begin(), endpoints.end(), endpoint) != endpoints.end();
}

bool isTarget(const EndpointView &view, const RouteQuery &query)
{
    if (!query.allowedEndpoints.empty())
        return contains(query.allowedEndpoints, view.endpoint.id);
    return view.endpoint.kind == control::EndpointKind::Engine && serves(view, query.request.model)
        && roleMatches(view.role, query.phase);
}

} // namespace

Candidates suitable(const RouteQuery &query, const EndpointTable &table)
{
    Candidates found;
    for (const auto &[id, view] : table.all()) {
        if (view.state != EndpointState::Live || view.weight <= 0)
            continue;
        if (isTarget(view, query) && !contains(query.excluded, id))
            found.push_back(&view);
    }
    return found;
}

bool hasRoom(const EndpointView &view, const RouteQuery &query, const RouterOptions &options,
             absl::Time now)
{
    double slots = view.endpoint.slots;
    if (query.request.urgency == Urgency::Deferable)
        slots *= 1 - options.urgentReserve;
    if (view.requests(now) + 1 > std::max(slots, 1.0))
        return false;
    const auto pages = view.freeKvPages();
    // All memory of an idle endpoint is evictable, however little it reports as free.
    if (!pages || view.requests(now) < 1)
        return true;
    return *pages >= kvPagesNeeded(query.request);
}

Candidates withRoom(const Candidates &candidates, const RouteQuery &query,
                    const RouterOptions &options, absl::Time now)
{
    Candidates found;
    for (const EndpointView *view : candidates) {
        if (hasRoom(*view, query, options, now))
            found.push_back(view);
    }
    return found;
}

RouteChoice noEndpointAvailable(const Candidates &suitable, absl::Time now)
{
    RouteChoice choice;
    if (suitable.empty()) {
        choice.refusal.reason = { base::ReasonCode::Unavailable, "no live endpoint serves this" };
        choice.refusal.retryAfter = absl::Seconds(1);
        return choice;
    }
    // With n requests of mean service time m running, the next slot is free after about m / n.
    absl::Duration soonest = absl::InfiniteDuration();
    for (const EndpointView *view : suitable) {
        const double running = std::max(view->requests(now), 1.0);
        soonest = std::min(soonest, view->meanServiceTime / running);
    }
    choice.refusal.reason = { base::ReasonCode::Overloaded, "every endpoint is full" };
    choice.refusal.retryAfter = soonest;
    return choice;
}

RouteChoice selected(const EndpointView &view, absl::Duration timeToFirstToken)
{
    RouteChoice choice;
    choice.endpoint = view.endpoint.id;
    choice.timeToFirstToken = timeToFirstToken;
    return choice;
}

} // namespace zinniadoor::serving::detail
