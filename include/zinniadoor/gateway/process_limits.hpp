#pragma once

#include <cstddef>

#include "zinniadoor/serving/byte_budget.hpp"
#include "zinniadoor/serving/held_answers.hpp"

namespace zinniadoor::gateway {

/// What the process may use, as far as it can read it; 0: unknown or unlimited.
struct ProcessLimits
{
    std::size_t memoryBytes = 0;
    std::size_t descriptors = 0;
};

/// Parts of the process's memory and descriptors.
struct ProcessShares
{
    serving::ByteBudgetOptions bodies; ///< Of callers, read or being read.
    serving::HeldAnswersOptions answers; ///< Held back, or not taken by slow callers.
    std::size_t connections = 0; ///< Of callers; 0: any number.
};

/// Reads the address-space limit of the process, else the machine's memory, and the limit of
/// descriptors.
ProcessLimits readProcessLimits();

ProcessShares shareOut(const ProcessLimits &limits);

} // namespace zinniadoor::gateway
