#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "absl/time/time.h"

#include "zinniadoor/control/membership.hpp"
#include "zinniadoor/control/rate_shares.hpp"
#include "zinniadoor/control/share_slot_plan.hpp"
#include "zinniadoor/control/vouching.hpp"
#include "zinniadoor/daemon/control_loop.hpp"
#include "zinniadoor/daemon/peer_messenger.hpp"
#include "zinniadoor/daemon/request_loop.hpp"

namespace zinniadoor::daemon {

/// Keeps this instance's parts of every organisation's rate and burst: claims share slots through
/// the log, keeps them valid by log or vouchers, and lends and borrows. For the core thread.
class ShareManager : public RateGate
{
public:
    struct Parts
    {
        ControlLoop &control;
        PeerMessenger &messenger;
        const control::Membership &membership;
        control::ShareTiming timing;
        std::uint64_t seed = 1;
        std::function<void(const control::Decision &)> onDecision;
    };

    explicit ShareManager(Parts parts);

    control::Admission admit(const base::OrganisationId &organisation, absl::Time now) override;
    void cancel(control::Ticket ticket) override;

    void setConfiguration(const control::Bundle &bundle, absl::Time now);

    /// Some frames were applied, read at `readAt`.
    void onApplied(absl::Time readAt);

    /// A message of another instance; those of other parts are ignored.
    void onMessage(const base::InstanceId &from, const control::PeerMessage &message,
                   absl::Time now);
    void tick(absl::Time now);

    /// Gives all slots up as soon as their loans have ended; for a planned stop.
    void beginRelease();

    std::size_t ownedSlots() const { return owned_.size(); }

    /// No slot is held any more and all vouches are withdrawn.
    bool isReleased() const;

    /// Demand and spare for heartbeats.
    std::vector<control::OrganisationLoad> loads(std::size_t maxCount, absl::Time now)
    {
        return shares_.loads(maxCount, now);
    }

private:
    /// What this instance has seen of a slot, by its own clock.
    struct SlotWatch
    {
        base::Offset claim = 0; ///< Offset of the claim in force; 0 for none.
        std::optional<absl::Time> freeReadAt;
        std::optional<absl::Time> restartReadAt;
        std::optional<absl::Time> withdrawnReadAt; ///< All vouches of the holder withdrawn.
        base::Offset claimedSupersedes = 0; ///< Named by this instance's last claim.
        absl::Time claimSentAt = absl::InfinitePast();
    };

    void run(control::Effects effects);
    void watchSlot(std::uint32_t slot, absl::Time readAt);
    control::ShareClaim earliestClaim(std::uint32_t slot, absl::Time now) const;
    void setOwnedSlots(absl::Time now);
    void planSlots(absl::Time now);
    void claim(std::uint32_t slot, absl::Time now);
    void release(absl::Time now);
    std::set<base::InstanceId> liveInstances(absl::Time now) const;

    Parts parts_;
    control::RateShares shares_;
    control::VouchKeeper vouches_;
    std::uint32_t slotCount_ = 0;
    std::map<std::uint32_t, SlotWatch> watches_;
    std::set<std::uint32_t> owned_; ///< By the log.
    std::set<std::uint32_t> leaving_;
    std::set<std::uint32_t> released_; ///< The release is on its way to the log.
    base::Offset toldFrame_ = 0;
    absl::Time nextPlanAt_ = absl::InfinitePast();
    bool stopping_ = false;
    bool withdrewAll_ = false;
};

} // namespace zinniadoor::daemon
