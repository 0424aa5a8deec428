#pragma once

#include <cstdint>
#include <vector>

#include "zinniadoor/control/state.hpp"

namespace zinniadoor::ctl {

/// An instance whose log frames do not yet confirm a configuration change.
struct UnconfirmedInstance
{
    base::InstanceId instance;
    std::uint64_t version = 0; ///< Bundle version in its last frame.
    bool silent = false; ///< No frame of it follows the change.
};

/// Returns the instances that have not stopped and whose last frame precedes `offset` or carries a
/// bundle version below `version`. An instance that crashed counts as silent until it is
/// restarted.
std::vector<UnconfirmedInstance> unconfirmedInstances(const control::State &state,
                                                      base::Offset offset, std::uint64_t version);

} // namespace zinniadoor::ctl
