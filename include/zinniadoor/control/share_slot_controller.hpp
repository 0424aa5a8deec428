#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/time/time.h"

#include "zinniadoor/control/attestation.hpp"
#include "zinniadoor/control/instance_table.hpp"
#include "zinniadoor/control/lease_table.hpp"
#include "zinniadoor/control/rate_shares.hpp"
#include "zinniadoor/control/records.hpp"
#include "zinniadoor/control/share_slot_plan.hpp"

namespace zinniadoor::control {

/// Claims, uses and releases share slots for one process, based on the log, attestations and the
/// loans of RateShares. Performs no I/O. All times are of the process's monotonic clock.
class ShareSlotController
{
public:
    ShareSlotController(Process self, std::uint32_t shareSlots, ShareTiming timing);

    /// Call after applying the entries of a read; `readAt` is the time at which they arrived.
    void observe(const InstanceTable &instances, const LeaseTable &leases, absl::Time readAt);

    /// Returns claims and releases for the next frame. They refer to current offsets, so the frame
    /// has to be sent immediately. `live`: peers that membership does not consider lost.
    std::vector<Record> plan(const InstanceTable &instances, const LeaseTable &leases,
                             const std::vector<base::InstanceId> &live, RateShares &shares,
                             absl::Time now);

    /// Call after each read of the log and at every tick, before requests are admitted.
    void updateOwnedSlots(const LeaseTable &leases, absl::Time mayUseUntil, RateShares &shares,
                          absl::Time now);

    /// Starts a planned stop: claims and lends nothing more.
    void stop(RateShares &shares);

    /// After `stop`: true once all loans have ended. From then on the slots are unused, and
    /// InstanceStopped, which releases them, may be appended. Without it they expire.
    bool hasStopped(const LeaseTable &leases, RateShares &shares, absl::Time now);

    /// Slots in use as of the last updateOwnedSlots.
    const std::set<std::uint32_t> &slots() const { return inUse_; }

private:
    /// The state of a slot as last read, and since when it has been unchanged.
    struct Observation
    {
        base::Offset epoch = 0; ///< 0 while the slot is free.
        base::Offset lastFrame = 0;
        base::Offset lastAttestationWithdrawal = 0;
        bool hasRestarted = false;
        ShareSlotFacts facts;
    };

    void observeSlot(Observation &observation, const Lease *lease, const InstanceTable &instances,
                     absl::Time readAt) const;
    std::set<std::uint32_t> ownSlots(const LeaseTable &leases) const;

    Process self_;
    std::uint32_t shareSlots_;
    ShareTiming timing_;
    std::map<std::uint32_t, Observation> observations_;
    std::optional<std::uint32_t> releasing_; ///< Slot to be released; no longer lent.
    std::set<std::uint32_t> released_; ///< No longer used; the release is pending.
    std::set<std::uint32_t> inUse_;
    bool isStopping_ = false;
    bool hasStopped_ = false;
};

} // namespace zinniadoor::control
