#pragma once

#include <vector>

#include "zinniadoor/serving/router.hpp"

namespace zinniadoor::serving::detail {

using Candidates = std::vector<const EndpointView *>;

/// Endpoints that may ever run the query: right kind, model and phase, live, not excluded.
Candidates suitable(const RouteQuery &query, const EndpointTable &table);

/// Whether an endpoint has a free slot and the memory for the query now.
bool hasRoom(const EndpointView &view, const RouteQuery &query, const RouterOptions &options,
             absl::Time now);

Candidates withRoom(const Candidates &candidates, const RouteQuery &query,
                    const RouterOptions &options, absl::Time now);

/// Refusal where none is suitable, or none of those suitable has room.
RouteChoice noneFits(const Candidates &suitable, absl::Time now);

RouteChoice chosen(const EndpointView &view,
                   absl::Duration timeToFirstToken = absl::ZeroDuration());

} // namespace zinniadoor::serving::detail
