#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "absl/time/time.h"

#include "zinniadoor/control/attestation.hpp"
#include "zinniadoor/control/membership.hpp"
#include "zinniadoor/control/rate_shares.hpp"
#include "zinniadoor/control/share_slot_controller.hpp"
#include "zinniadoor/daemon/control_loop.hpp"
#include "zinniadoor/daemon/peer_messenger.hpp"
#include "zinniadoor/daemon/request_loop.hpp"

namespace zinniadoor::daemon {

/// Keeps this instance's parts of every organisation's rate and burst: claims share slots through
/// the log, keeps them valid by log or attestors, and lends and borrows. For the core thread.
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

    /// Lends nothing more, so that the slots can be given up; for a planned stop.
    void beginRelease();

    /// No loan is left: InstanceStopped, which frees the slots, may be appended.
    bool isReleased(absl::Time now);

    std::size_t ownedSlots() const { return slots_ ? slots_->slots().size() : 0; }

    /// Demand and spare for heartbeats.
    std::vector<control::OrganisationLoad> loads(std::size_t maxCount, absl::Time now)
    {
        return shares_ ? shares_->loads(maxCount, now) : std::vector<control::OrganisationLoad> {};
    }

private:
    void run(const control::Effects &effects);
    void observeLog(absl::Time readAt);
    void useSlots(absl::Time now);
    void planSlots(absl::Time now);

    Parts parts_;
    std::unique_ptr<control::RateShares> shares_; ///< Null before the first configuration.
    control::AttestationController vouches_;
    std::unique_ptr<control::ShareSlotController> slots_; ///< Likewise.
    std::uint32_t slotCount_ = 0;
    base::Offset toldFrame_ = 0;
    absl::Time nextUpkeepAt_ = absl::InfinitePast();
    absl::Time nextPlanAt_ = absl::InfinitePast();
    bool stopping_ = false;
};

} // namespace zinniadoor::daemon
