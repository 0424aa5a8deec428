#include "zinniadoor/control/share_slot_controller.hpp"

#include <algorithm>

namespace zinniadoor::control {

ShareSlotController::ShareSlotController(Process self, std::uint32_t shareSlots, ShareTiming timing)
    : self_(std::move(self))
    , shareSlots_(shareSlots)
    , timing_(timing)
{ }

void ShareSlotController::observe(const InstanceTable &instances, const LeaseTable &leases,
                                  absl::Time readAt)
{
    for (std::uint32_t slot = 0; slot < shareSlots_; ++slot)
        observeSlot(observations_[slot], leases.find(shareScope(slot)), instances, readAt);
}

// Times are those at which this process first read the current state, also if it came from a
// snapshot: they are never earlier than the time of writing.
void ShareSlotController::observeSlot(Observation &observation, const Lease *lease,
                                      const InstanceTable &instances, absl::Time readAt) const
{
    ShareSlotFacts &facts = observation.facts;
    if (lease == nullptr || !lease->isHeld()) {
        const absl::Time since = facts.freeReadAt.value_or(readAt);
        observation = Observation {};
        facts.freeReadAt = since;
        return;
    }
    if (observation.epoch != lease->epoch) {
        observation = Observation {};
        observation.epoch = lease->epoch;
    }
    const ProcessInfo *holder = instances.find(lease->holder);
    const base::Offset lastFrame = std::max(lease->epoch, holder ? holder->lastFrame : 0);
    if (observation.lastFrame != lastFrame) {
        observation.lastFrame = lastFrame;
        facts.lastFrameReadAt = readAt;
    }
    const base::Offset lastAttestationWithdrawal
        = instances.lastAttestationWithdrawal(lease->holder);
    if (observation.lastAttestationWithdrawal != lastAttestationWithdrawal) {
        observation.lastAttestationWithdrawal = lastAttestationWithdrawal;
        facts.lastWithdrawalReadAt = readAt;
    }
    facts.allAttestationsWithdrawn = instances.allAttestationsWithdrawn(lease->holder);
    if (!facts.restartReadAt && instances.restartedAtSameAddress(lease->holder))
        facts.restartReadAt = readAt;
}

std::set<std::uint32_t> ShareSlotController::ownSlots(const LeaseTable &leases) const
{
    std::set<std::uint32_t> own;
    for (std::uint32_t slot = 0; slot < shareSlots_; ++slot) {
        const Lease *lease = leases.find(shareScope(slot));
        if (lease != nullptr && lease->isHeld() && lease->holder == self_)
            own.insert(slot);
    }
    return own;
}

std::vector<Record> ShareSlotController::plan(const InstanceTable &instances,
                                              const LeaseTable &leases,
                                              const std::vector<base::InstanceId> &live,
                                              RateShares &shares, absl::Time now)
{
    std::vector<Record> records;
    for (const std::uint32_t slot : released_) {
        const std::string scope = shareScope(slot);
        records.emplace_back(LeaseReleased { scope, leases.find(scope)->epoch });
    }
    if (isStopping_ || instances.find(self_) == nullptr)
        return records;

    std::map<std::uint32_t, ShareSlotView> views;
    std::map<std::uint32_t, ClaimBasis> bases;
    for (std::uint32_t slot = 0; slot < shareSlots_; ++slot) {
        const Lease *lease = leases.find(shareScope(slot));
        ShareSlotView &view = views[slot];
        if (lease != nullptr && lease->isHeld())
            view.holder = lease->holder.instance;
        if (lease != nullptr && lease->isHeld() && lease->holder == self_)
            continue;
        const ShareClaim claim = earliestShareClaim(observations_[slot].facts, timing_);
        bases[slot] = claim.basis;
        if (now >= claim.notBefore)
            view.claimableSince = claim.notBefore;
    }
    std::set<base::InstanceId> all(live.begin(), live.end());
    all.insert(self_.instance);
    const ShareSlotPlan plan = planShareSlots(self_.instance, all, views, now);
    for (const std::uint32_t slot : plan.claim) {
        const std::string scope = shareScope(slot);
        const base::Offset supersedes = leases.offsetToSupersede(scope, bases[slot], instances);
        records.emplace_back(
            LeaseClaimed { scope, self_.instance, self_.incarnation, supersedes, bases[slot] });
    }
    if (!plan.release.empty() && !releasing_) {
        releasing_ = plan.release.front();
        shares.prepareRelease({ *releasing_ });
    }
    return records;
}

void ShareSlotController::updateOwnedSlots(const LeaseTable &leases, absl::Time mayUseUntil,
                                           RateShares &shares, absl::Time now)
{
    const std::set<std::uint32_t> own = ownSlots(leases);
    for (auto it = released_.begin(); it != released_.end();)
        it = own.count(*it) > 0 ? std::next(it) : released_.erase(it);
    if (releasing_ && (own.count(*releasing_) == 0 || shares.mayRelease(now))) {
        if (own.count(*releasing_) > 0)
            released_.insert(*releasing_);
        releasing_.reset();
        if (!isStopping_)
            shares.prepareRelease({});
    }
    inUse_.clear();
    for (const std::uint32_t slot : own) {
        if (!hasStopped_ && released_.count(slot) == 0)
            inUse_.insert(slot);
    }
    std::map<std::uint32_t, base::InstanceId> owners;
    for (std::uint32_t slot = 0; slot < shareSlots_; ++slot) {
        const Lease *lease = leases.find(shareScope(slot));
        if (lease != nullptr && lease->isHeld())
            owners[slot] = lease->holder.instance;
    }
    shares.setOwnedSlots(inUse_, mayUseUntil, now);
    shares.setSlotOwners(owners);
}

void ShareSlotController::stop(RateShares &shares)
{
    isStopping_ = true;
    releasing_.reset();
    std::set<std::uint32_t> all;
    for (std::uint32_t slot = 0; slot < shareSlots_; ++slot)
        all.insert(slot);
    shares.prepareRelease(all);
}

bool ShareSlotController::hasStopped(const LeaseTable &leases, RateShares &shares, absl::Time now)
{
    if (isStopping_ && !hasStopped_ && shares.mayRelease(now)) {
        hasStopped_ = true;
        updateOwnedSlots(leases, absl::InfinitePast(), shares, now);
    }
    return hasStopped_;
}

} // namespace zinniadoor::control
