#pragma once

#include "route_rules.hpp"

namespace zinniadoor::serving::detail {

/// Endpoints on which deferable work may start. The others are reserved for urgent work: as many as
/// it occupies at a slot utilisation of `fill`, plus one. An engine prefills prompts sequentially,
/// so a deferable prompt would delay all urgent prompts behind it. Instances with the same view of
/// the work reserve the same endpoints.
Candidates openToDeferable(const Candidates &suitable, double fill);

/// Endpoints reserved for urgent work and those without deferable work.
Candidates freeOfDeferable(const Candidates &suitable, double fill);

} // namespace zinniadoor::serving::detail
