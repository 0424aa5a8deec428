#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "absl/time/time.h"

#include "zinniadoor/base/ids.hpp"

namespace zinniadoor::control {

/// A share slot as this instance sees it.
struct ShareSlotView
{
    std::optional<base::InstanceId> holder; ///< By the log; nullopt: never held or released.
    std::optional<absl::Time> claimableSince; ///< When this instance could first have claimed it.
};

struct ShareSlotPlan
{
    std::vector<std::uint32_t> claim;
    std::vector<std::uint32_t> release;
};

/// Which slots `self` should claim and release now, so that the slots spread evenly over `live`
/// (which contains `self`) without a coordinator. For each claimable slot the instance that holds
/// least claims at once and the others one after the other later, so that mostly one of them
/// tries; if more do, the log's order decides. At most one slot is released at a time.
ShareSlotPlan planShareSlots(const base::InstanceId &self, const std::set<base::InstanceId> &live,
                             const std::map<std::uint32_t, ShareSlotView> &slots, absl::Time now);

} // namespace zinniadoor::control
