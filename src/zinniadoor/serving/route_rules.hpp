#pragma once

#include <vector>

#include "zinniadoor/serving/router.hpp"

namespace zinniadoor::serving::detail {

using Candidates = std::vector<const EndpointView *>;

/// Endpoints that can run the query regardless of load: matching kind, model and phase, live, not
/// ejected and not excluded.
Candidates suitable(const RouteQuery &query, const EndpointTable &table);

/// Whether an endpoint has a free slot and enough KV pages for the query now.
bool hasRoom(const EndpointView &view, const RouteQuery &query, const RouterOptions &options,
             absl::Time now);

Candidates withRoom(const Candidates &candidates, const RouteQuery &query,
                    const RouterOptions &options, absl::Time now);

/// Refusal if there is no suitable endpoint, or none of them has capacity.
RouteChoice noEndpointAvailable(const Candidates &suitable, absl::Time now);

RouteChoice selected(const EndpointView &view,
                     absl::Duration timeToFirstToken = absl::ZeroDuration());

} // namespace zinniadoor::serving::detail
