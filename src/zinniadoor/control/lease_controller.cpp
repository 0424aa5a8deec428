#include "zinniadoor/control/lease_controller.hpp"

namespace zinniadoor::control {

void LeaseController::Watch::see(base::Offset newOffset, absl::Time readAt)
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
    holderWatch_.see(state.offsetToSupersede(scope_, ClaimBasis::AttestationLimit), readAt);
    lapseWatch_.see(state.offsetToSupersede(scope_, ClaimBasis::Expired), readAt);
    const Lease *lease = state.leases().find(scope_);
    const bool isHolder = lease != nullptr && lease->isHeld() && lease->holder == self_
        && lease->epoch != releasedEpoch_;
    if (!isHolder) {
        epoch_ = 0;
        mayActUntil_ = absl::InfinitePast();
        return;
    }
    epoch_ = lease->epoch;
    // renewLease: a frame renews from the instant it was sent, since a challenger counts from
    // when it read the frame, which is later.
    if (lastOwnFrame.offset >= epoch_)
        mayActUntil_ = lastOwnFrame.sentAt + times_.lease - times_.margin;
}

const LeaseController::Watch &LeaseController::watchFor(ClaimBasis basis) const
{
    return basis == ClaimBasis::Expired ? lapseWatch_ : holderWatch_;
}

std::optional<ClaimBasis> LeaseController::claimableBasis(const State &state, absl::Time now) const
{
    const Lease *lease = state.leases().find(scope_);
    if (lease == nullptr || !lease->isHeld())
        return ClaimBasis::Free;
    if (lease->holder == self_)
        return std::nullopt;
    const InstanceTable &instances = state.instances();
    const auto watchedFor = [&](ClaimBasis basis) { return now - watchFor(basis).since; };
    if (instances.restartedAtSameAddress(lease->holder)
        && watchedFor(ClaimBasis::Restarted) >= times_.margin)
        return ClaimBasis::Restarted;
    absl::Duration wait = times_.lease + times_.margin;
    if (isShareScope(scope_)) {
        wait += times_.attestation;
        if (watchedFor(ClaimBasis::AttestationLimit) >= times_.attestationLimit)
            return ClaimBasis::AttestationLimit;
        if (!instances.allAttestationsWithdrawn(lease->holder))
            return std::nullopt;
    }
    if (watchedFor(ClaimBasis::Expired) >= wait)
        return ClaimBasis::Expired;
    return std::nullopt;
}

std::optional<LeaseClaimed> LeaseController::claimLease(const State &state, absl::Time now)
{
    const std::optional<ClaimBasis> basis = claimableBasis(state, now);
    if (!basis)
        return std::nullopt;
    const base::Offset supersedes = state.offsetToSupersede(scope_, *basis);
    // The same claim again only after a pause: the first one is on its way.
    if (claimed_ == supersedes && now < claimedAt_ + times_.lease)
        return std::nullopt;
    // The watch must have been on the offset that the claim names.
    if (*basis != ClaimBasis::Free && watchFor(*basis).offset != supersedes)
        return std::nullopt;
    claimed_ = supersedes;
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
