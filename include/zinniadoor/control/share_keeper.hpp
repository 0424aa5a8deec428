#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/time/time.h"

#include "zinniadoor/control/instance_table.hpp"
#include "zinniadoor/control/lease_table.hpp"
#include "zinniadoor/control/rate_shares.hpp"
#include "zinniadoor/control/records.hpp"
#include "zinniadoor/control/share_slot_plan.hpp"
#include "zinniadoor/control/vouching.hpp"

namespace zinniadoor::control {

/// Claims, uses and releases share slots for one process: joins the log as read, the attestors and
/// the rate shares. All instants are of the process's own clock.
class ShareKeeper
{
public:
    ShareKeeper(Process self, std::uint32_t shareSlots, ShareTiming timing);

    /// To be called with the instant of each read of the log, after applying what it gave.
    void observe(const InstanceTable &instances, const LeaseTable &leases, absl::Time readAt);

    /// Records for the next frame: claims and releases. They name offsets that hold now, so the
    /// frame has to be sent at once. `live`: peers that membership does not hold for lost.
    std::vector<Record> plan(const InstanceTable &instances, const LeaseTable &leases,
                             const std::vector<base::InstanceId> &live, RateShares &shares,
                             absl::Time now);

    /// To be called after reading the log and at every tick, before requests are admitted.
    void useSlots(const LeaseTable &leases, absl::Time mayUseUntil, RateShares &shares,
                  absl::Time now);

    /// A planned stop: claims nothing more and lends nothing more.
    void stop(RateShares &shares);

    /// After `stop`: true once no loan is left. From then on the slots are not used, and
    /// InstanceStopped, which releases them, may be appended. Without that they lapse.
    bool hasStopped(const LeaseTable &leases, RateShares &shares, absl::Time now);

    /// Slots used since the last useSlots.
    const std::set<std::uint32_t> &slots() const { return inUse_; }

private:
    /// Since when this process has read the same of a slot.
    struct Watch
    {
        base::Offset epoch = 0; ///< 0 while nobody holds the slot.
        base::Offset lastFrame = 0;
        base::Offset lastAttestationWithdrawal = 0;
        bool hasRestarted = false;
        ShareSlotFacts facts;
    };

    void watch(Watch &watch, const Lease *lease, const InstanceTable &instances,
               absl::Time readAt) const;
    std::set<std::uint32_t> ownSlots(const LeaseTable &leases) const;

    Process self_;
    std::uint32_t shareSlots_;
    ShareTiming timing_;
    std::map<std::uint32_t, Watch> watches_;
    std::optional<std::uint32_t> leaving_; ///< No longer lent, to be released.
    std::set<std::uint32_t> released_; ///< No longer used; the release is on its way.
    std::set<std::uint32_t> inUse_;
    bool isStopping_ = false;
    bool hasStopped_ = false;
};

} // namespace zinniadoor::control
