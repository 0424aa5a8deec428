#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "absl/time/time.h"

#include "zinniadoor/base/ids.hpp"

namespace zinniadoor::control {

/// The state of a share slot as read by this instance.
struct ShareSlotView
{
    std::optional<base::InstanceId> holder; ///< According to the log; nullopt if free.
    std::optional<absl::Time> claimableSince; ///< Since when this instance may claim it.
};

struct ShareSlotPlan
{
    std::vector<std::uint32_t> claim;
    std::vector<std::uint32_t> release;
};

/// Decides which slots `self` should claim and release now, so that slots spread evenly over `live`
/// (which contains `self`) without a coordinator. For each claimable slot, the instance with the
/// fewest slots claims immediately and the others at staggered delays, so that usually only one
/// tries; log order resolves conflicting claims. At most one slot is released at a time.
ShareSlotPlan planShareSlots(const base::InstanceId &self, const std::set<base::InstanceId> &live,
                             const std::map<std::uint32_t, ShareSlotView> &slots, absl::Time now);

} // namespace zinniadoor::control
