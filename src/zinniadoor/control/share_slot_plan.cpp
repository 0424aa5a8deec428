#include "zinniadoor/control/share_slot_plan.hpp"

#include <algorithm>
#include <string>

#include "zinniadoor/control/stable_hash.hpp"

namespace zinniadoor::control {

namespace {

/// Stagger between the candidates for a slot.
constexpr absl::Duration CandidateDelay = absl::Seconds(2);

using HeldCounts = std::map<base::InstanceId, std::size_t>;

std::uint64_t preference(std::uint32_t slot, const base::InstanceId &instance)
{
    return rendezvousWeight("share/" + std::to_string(slot), instance.str());
}

/// Candidates for a slot: instances with the fewest slots first, ties by rendezvous hashing.
std::vector<base::InstanceId> candidates(std::uint32_t slot, const HeldCounts &held)
{
    std::vector<base::InstanceId> order;
    for (const auto &[instance, count] : held)
        order.push_back(instance);
    std::sort(order.begin(), order.end(), [&](const auto &a, const auto &b) {
        if (held.at(a) != held.at(b))
            return held.at(a) < held.at(b);
        return preference(slot, a) > preference(slot, b);
    });
    return order;
}

HeldCounts countHeld(const std::set<base::InstanceId> &live,
                     const std::map<std::uint32_t, ShareSlotView> &slots)
{
    HeldCounts held;
    for (const base::InstanceId &instance : live)
        held[instance] = 0;
    for (const auto &[slot, view] : slots) {
        if (view.holder && !view.claimableSince && live.count(*view.holder) > 0)
            ++held[*view.holder];
    }
    return held;
}

/// The slot for which `self` is least preferred, if it holds two more than some other instance.
std::optional<std::uint32_t> slotToRelease(const base::InstanceId &self, const HeldCounts &held,
                                           const std::map<std::uint32_t, ShareSlotView> &slots)
{
    std::size_t fewest = held.at(self);
    for (const auto &[instance, count] : held)
        fewest = std::min(fewest, count);
    if (held.at(self) < fewest + 2)
        return std::nullopt;
    std::optional<std::uint32_t> least;
    for (const auto &[slot, view] : slots) {
        if (view.holder != self || view.claimableSince)
            continue;
        if (!least || preference(slot, self) < preference(*least, self))
            least = slot;
    }
    return least;
}

} // namespace

ShareSlotPlan planShareSlots(const base::InstanceId &self, const std::set<base::InstanceId> &live,
                             const std::map<std::uint32_t, ShareSlotView> &slots, absl::Time now)
{
    ShareSlotPlan plan;
    HeldCounts held = countHeld(live, slots);
    held.try_emplace(self, 0);
    bool anyFree = false;
    for (const auto &[slot, view] : slots) {
        anyFree = anyFree || !view.holder || view.claimableSince;
        if (!view.claimableSince || now < *view.claimableSince)
            continue;
        const std::vector<base::InstanceId> order = candidates(slot, held);
        const auto rank = std::find(order.begin(), order.end(), self) - order.begin();
        if (now >= *view.claimableSince + rank * CandidateDelay)
            plan.claim.push_back(slot);
        // Count the slot for its first candidate, so that one instance is not first for all slots.
        ++held[order.front()];
    }
    // Nothing is released while slots are free: instances with few slots claim those.
    if (!anyFree) {
        if (const auto slot = slotToRelease(self, held, slots))
            plan.release.push_back(*slot);
    }
    return plan;
}

} // namespace zinniadoor::control
