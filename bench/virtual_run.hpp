#pragma once

#include "results.hpp"
#include "scenario.hpp"

namespace zinniadoor::bench {

/// Runs one variant of a scenario on the virtual clock.
RunResult runVirtual(const Scenario &scenario, const Variant &variant);

} // namespace zinniadoor::bench
