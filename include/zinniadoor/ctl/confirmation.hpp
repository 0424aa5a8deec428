#pragma once

#include <cstdint>
#include <vector>

#include "zinniadoor/control/state.hpp"

namespace zinniadoor::ctl {

/// An instance whose frames don't yet show that it works with a change.
struct Unconfirmed
{
    base::InstanceId instance;
    std::uint64_t version = 0; ///< As its last frame told.
    bool silent = false; ///< It has written no frame after the change.
};

/// The instances that have not stopped and whose last frame came before `offset` or carries a
/// version below `version`. An instance that crashed counts as silent until it starts anew.
std::vector<Unconfirmed> unconfirmed(const control::State &state, base::Offset offset,
                                     std::uint64_t version);

} // namespace zinniadoor::ctl
