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

/// Manages this instance's shares of every organisation's rate and burst: claims share slots
/// through the log, keeps their leases valid by the log or by attestations, and lends to and
/// borrows from peers. Used on the core thread only.
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

    /// Call after applying the entries of a read; `readAt` is the time at which they arrived.
    void onApplied(absl::Time readAt);

    /// Handles a message from another instance; ignores those for other components.
    void onMessage(const base::InstanceId &from, const control::PeerMessage &message,
                   absl::Time now);
    void tick(absl::Time now);

    /// Stops lending, so that the slots can be released; for a graceful shutdown.
    void startRelease();

    /// Whether no loan is left, so that InstanceStopped, which releases the slots, may be appended.
    bool isReleased(absl::Time now);

    std::size_t ownedSlots() const { return shareSlots_ ? shareSlots_->slots().size() : 0; }

    /// Demand and spare rate of organisations, for heartbeats.
    std::vector<control::OrganisationLoad> loads(std::size_t maxCount, absl::Time now)
    {
        return shares_ ? shares_->loads(maxCount, now) : std::vector<control::OrganisationLoad> {};
    }

private:
    void apply(const control::Effects &effects);
    void observeLog(absl::Time readAt);
    void useSlots(absl::Time now);
    void planSlots(absl::Time now);

    Parts parts_;
    std::unique_ptr<control::RateShares> shares_; ///< Null before the first configuration.
    control::AttestationController attestations_;
    std::unique_ptr<control::ShareSlotController>
        shareSlots_; ///< Null before the first configuration.
    std::uint32_t slotCount_ = 0;
    base::Offset lastConfirmedOffset_ = 0;
    absl::Time nextRefreshAt_ = absl::InfinitePast();
    absl::Time nextPlanAt_ = absl::InfinitePast();
    bool stopping_ = false;
};

} // namespace zinniadoor::daemon
