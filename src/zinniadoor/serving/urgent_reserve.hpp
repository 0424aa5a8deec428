#pragma once

#include "route_rules.hpp"

namespace zinniadoor::serving::detail {

/// Endpoints on which deferable work may start. The others are kept for urgent work, as many as
/// it fills to `fill` of their slots and one more: an engine computes one prompt after another,
/// so a deferable prompt would hold up every urgent one behind it. Every instance that knows of
/// the same work keeps the same endpoints.
Candidates openToDeferable(const Candidates &suitable, double fill);

/// Endpoints without deferable work and those kept for urgent work.
Candidates freeOfDeferable(const Candidates &suitable, double fill);

} // namespace zinniadoor::serving::detail
