#pragma once

#include "results.hpp"
#include "scenario.hpp"

namespace zinniadoor::bench {

/// Simulates one variant of a scenario on a virtual clock.
RunResult runVirtual(const Scenario &scenario, const Variant &variant);

} // namespace zinniadoor::bench
