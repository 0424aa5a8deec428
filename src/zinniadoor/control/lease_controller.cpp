#include "zinniadoor/control/lease_controller.hpp"

namespace zinniadoor::control {

void LeaseController::OffsetAge::update(base::Offset newOffset, absl::Time readAt)
{
    if (since != absl::InfiniteFuture() && offset == newOffset)
        return;
    offset = newOffset;
    since = readAt;
}

LeaseController::LeaseController(std::string scope, Process self, LeaseTimes times)
    : scope_(std::move(scope))
    , self_(std::move(self))
    , times_(times)
{ }

void LeaseController::observe(const State &state, const ConfirmedFrame &lastOwnFrame,
                              absl::Time readAt)
{
    holderAge_.update(state.offsetToSupersede(scope_, ClaimBasis::AttestationLimit), readAt);
    expiryAge_.update(state.offsetToSupersede(scope_, ClaimBasis::Expired), readAt);
    const Lease *lease = state.leases().find(scope_);
    const bool isHolder = lease != nullptr && lease->isHeld() && lease->holder == self_
        && lease->epoch != releasedEpoch_;
    if (!isHolder) {
        epoch_ = 0;
        mayActUntil_ = absl::InfinitePast();
        return;
    }
    epoch_ = lease->epoch;
    // A frame renews the lease from the time it was sent. That is safe, since a competing claimant
    // counts from the time it read the frame, which is later.
    if (lastOwnFrame.offset >= epoch_)
        mayActUntil_ = lastOwnFrame.sentAt + times_.lease - times_.margin;
}

const LeaseController::OffsetAge &LeaseController::offsetAgeFor(ClaimBasis basis) const
{
    return basis == ClaimBasis::Expired ? expiryAge_ : holderAge_;
}

std::optional<ClaimBasis> LeaseController::claimableBasis(const State &state, absl::Time now) const
{
    const Lease *lease = state.leases().find(scope_);
    if (lease == nullptr || !lease->isHeld())
        return ClaimBasis::Free;
    if (lease->holder == self_)
        return std::nullopt;
    const InstanceTable &instances = state.instances();
    const auto unchangedFor = [&](ClaimBasis basis) { return now - offsetAgeFor(basis).since; };
    if (instances.restartedAtSameAddress(lease->holder)
        && unchangedFor(ClaimBasis::Restarted) >= times_.margin)
        return ClaimBasis::Restarted;
    absl::Duration wait = times_.lease + times_.margin;
    if (isShareScope(scope_)) {
        wait += times_.attestation;
        if (unchangedFor(ClaimBasis::AttestationLimit) >= times_.attestationLimit)
            return ClaimBasis::AttestationLimit;
        if (!instances.allAttestationsWithdrawn(lease->holder))
            return std::nullopt;
    }
    if (unchangedFor(ClaimBasis::Expired) >= wait)
        return ClaimBasis::Expired;
    return std::nullopt;
}

std::optional<LeaseClaimed> LeaseController::claimLease(const State &state, absl::Time now)
{
    const std::optional<ClaimBasis> basis = claimableBasis(state, now);
    if (!basis)
        return std::nullopt;
    const base::Offset supersedes = state.offsetToSupersede(scope_, *basis);
    // Repeats the same claim only after a delay, since the first one may still be in flight.
    if (claimedOffset_ == supersedes && now < claimedAt_ + times_.lease)
        return std::nullopt;
    // The claim must name the offset whose age was checked.
    if (*basis != ClaimBasis::Free && offsetAgeFor(*basis).offset != supersedes)
        return std::nullopt;
    claimedOffset_ = supersedes;
    claimedAt_ = now;
    return LeaseClaimed { scope_, self_.instance, self_.incarnation, supersedes, *basis };
}

std::optional<LeaseReleased> LeaseController::releaseLease()
{
    if (epoch_ == 0)
        return std::nullopt;
    const LeaseReleased record { scope_, epoch_ };
    releasedEpoch_ = epoch_;
    epoch_ = 0;
    mayActUntil_ = absl::InfinitePast();
    return record;
}

} // namespace zinniadoor::control
