#include "zinniadoor/daemon/share_manager.hpp"

#include <algorithm>
#include <utility>

#include "zinniadoor/control/lease_table.hpp"

namespace zinniadoor::daemon {

namespace {

constexpr double RequestCost = 1;
constexpr absl::Duration PlanInterval = absl::Milliseconds(250);

/// A claim that was not seen to count or fail is made again after this long.
constexpr absl::Duration ClaimPatience = absl::Seconds(5);

control::RateSharesOptions shareOptions(const ShareManager::Parts &parts)
{
    control::RateSharesOptions options;
    options.instance = parts.control.self().instance;
    options.incarnation = parts.control.self().incarnation;
    options.seed = parts.seed;
    return options;
}

} // namespace

ShareManager::ShareManager(Parts parts)
    : parts_(std::move(parts))
    , shares_(shareOptions(parts_))
    , vouches_(parts_.control.self(), parts_.timing)
{ }

control::Admission ShareManager::admit(const base::OrganisationId &organisation, absl::Time now)
{
    control::Admission admission = shares_.admit(organisation, RequestCost, now);
    for (const control::Outgoing &message : admission.effects.messages)
        parts_.messenger.send(message);
    admission.effects.messages.clear();
    return admission;
}

void ShareManager::cancel(control::Ticket ticket)
{
    shares_.cancel(ticket);
}

void ShareManager::run(control::Effects effects)
{
    for (const control::Outgoing &message : effects.messages)
        parts_.messenger.send(message);
    for (const control::Decision &decision : effects.decisions)
        parts_.onDecision(decision);
}

void ShareManager::setConfiguration(const control::Bundle &bundle, absl::Time now)
{
    slotCount_ = bundle.shareSlots;
    shares_.setOrganisations(bundle.organisations, now);
    setOwnedSlots(now);
}

void ShareManager::onApplied(absl::Time readAt)
{
    const control::State &state = parts_.control.state();
    const control::SeenFrame &seen = parts_.control.lastSeenFrame();
    if (seen.offset > toldFrame_) {
        toldFrame_ = seen.offset;
        vouches_.onOwnFrameSeen(seen.sentAt);
    }
    if (const control::ProcessInfo *info = state.instances().find(parts_.control.self())) {
        std::vector<base::InstanceId> vouchers;
        for (const base::InstanceId &voucher : info->vouchers) {
            if (info->vouchesWithdrawn.count(voucher) == 0)
                vouchers.push_back(voucher);
        }
        vouches_.setVouchers(vouchers);
        vouches_.setCharges(control::chargesOf(parts_.control.self(), state.instances()), readAt);
    }
    for (std::uint32_t slot = 0; slot < slotCount_; ++slot)
        watchSlot(slot, readAt);
    setOwnedSlots(readAt);
}

void ShareManager::watchSlot(std::uint32_t slot, absl::Time readAt)
{
    const control::State &state = parts_.control.state();
    const control::Lease *lease = state.leases().find(control::shareScope(slot));
    SlotWatch &watch = watches_[slot];
    if (lease == nullptr || !lease->isHeld()) {
        if (!watch.freeReadAt)
            watch.freeReadAt = readAt;
        return;
    }
    if (watch.freeReadAt || watch.claim != lease->epoch) {
        const SlotWatch old = watch;
        watch = {};
        watch.claim = lease->epoch;
        watch.claimedSupersedes = old.claimedSupersedes;
        watch.claimSentAt = old.claimSentAt;
    }
    const control::InstanceTable &instances = state.instances();
    if (!watch.restartReadAt && instances.restartedAtSameAddress(lease->holder))
        watch.restartReadAt = readAt;
    if (!watch.withdrawnReadAt && instances.allVouchesWithdrawn(lease->holder))
        watch.withdrawnReadAt = readAt;
}

control::ShareClaim ShareManager::earliestClaim(std::uint32_t slot, absl::Time now) const
{
    const SlotWatch &watch = watches_.at(slot);
    const control::State &state = parts_.control.state();
    control::ShareSlotFacts facts;
    facts.freeReadAt = watch.freeReadAt;
    facts.restartReadAt = watch.restartReadAt;
    if (const control::Lease *lease = state.leases().find(control::shareScope(slot))) {
        facts.lastFrameReadAt = now - parts_.control.watch().silentFor(lease->holder, now);
        facts.allVouchesWithdrawn = watch.withdrawnReadAt.has_value();
        facts.lastWithdrawalReadAt = watch.withdrawnReadAt.value_or(absl::InfinitePast());
    }
    return control::earliestShareClaim(facts, parts_.timing);
}

void ShareManager::setOwnedSlots(absl::Time now)
{
    const control::State &state = parts_.control.state();
    owned_.clear();
    std::map<std::uint32_t, base::InstanceId> owners;
    for (std::uint32_t slot = 0; slot < slotCount_; ++slot) {
        const control::Lease *lease = state.leases().find(control::shareScope(slot));
        if (lease == nullptr || !lease->isHeld()) {
            released_.erase(slot);
            continue;
        }
        owners[slot] = lease->holder.instance;
        if (lease->holder == parts_.control.self())
            owned_.insert(slot);
        else
            released_.erase(slot);
    }
    std::set<std::uint32_t> usable;
    std::set_difference(owned_.begin(), owned_.end(), released_.begin(), released_.end(),
                        std::inserter(usable, usable.end()));
    shares_.setSlotOwners(owners);
    shares_.setLostPeers(parts_.membership.lost(now));
    shares_.setOwnedSlots(usable, vouches_.mayUseUntil(), now);
}

void ShareManager::onMessage(const base::InstanceId &from, const control::PeerMessage &message,
                             absl::Time now)
{
    if (const auto *ask = std::get_if<control::VouchAsk>(&message)) {
        parts_.messenger.send(vouches_.onAsk(from, *ask, now));
        return;
    }
    if (const auto *answer = std::get_if<control::VouchAnswer>(&message)) {
        vouches_.onAnswer(from, *answer, now);
        return;
    }
    run(shares_.onMessage(from, message, now));
}

void ShareManager::tick(absl::Time now)
{
    run(shares_.tick(now));
    const control::VouchEffects vouching = vouches_.tick(now);
    for (const control::Outgoing &message : vouching.messages)
        parts_.messenger.send(message);
    for (const control::VouchWithdrawn &withdrawal : vouching.withdrawals)
        parts_.control.append(withdrawal);
    if (now < nextPlanAt_)
        return;
    nextPlanAt_ = now + PlanInterval;
    setOwnedSlots(now);
    planSlots(now);
    release(now);
}

std::set<base::InstanceId> ShareManager::liveInstances(absl::Time now) const
{
    std::set<base::InstanceId> live;
    const control::FrameWatch &watch = parts_.control.watch();
    const control::InstanceTable &instances = parts_.control.state().instances();
    for (const control::Process &process : watch.live(instances, parts_.timing.lease, now)) {
        const control::MemberView *view = parts_.membership.find(process.instance);
        const bool leaving = view != nullptr && view->draining;
        if (!leaving)
            live.insert(process.instance);
    }
    live.insert(parts_.control.self().instance);
    return live;
}

void ShareManager::planSlots(absl::Time now)
{
    const bool logHeard = parts_.control.isCurrent(now);
    if (!logHeard || stopping_ || watches_.size() < slotCount_)
        return;
    std::map<std::uint32_t, control::ShareSlotView> views;
    for (std::uint32_t slot = 0; slot < slotCount_; ++slot) {
        control::ShareSlotView view;
        const control::Lease *lease
            = parts_.control.state().leases().find(control::shareScope(slot));
        const bool held = lease != nullptr && lease->isHeld();
        if (held)
            view.holder = lease->holder.instance;
        const bool own = held && lease->holder == parts_.control.self();
        const control::ShareClaim earliest = earliestClaim(slot, now);
        if (!own && earliest.notBefore <= now)
            view.claimableSince = earliest.notBefore;
        views[slot] = view;
    }
    const control::ShareSlotPlan plan
        = control::planShareSlots(parts_.control.self().instance, liveInstances(now), views, now);
    for (const std::uint32_t slot : plan.claim)
        claim(slot, now);
    leaving_ = std::set<std::uint32_t>(plan.release.begin(), plan.release.end());
}

void ShareManager::claim(std::uint32_t slot, absl::Time now)
{
    SlotWatch &watch = watches_[slot];
    const control::ShareClaim earliest = earliestClaim(slot, now);
    const std::string scope = control::shareScope(slot);
    const base::Offset supersedes
        = parts_.control.state().claimMustSupersede(scope, earliest.basis);
    const bool onItsWay
        = watch.claimedSupersedes == supersedes && now < watch.claimSentAt + ClaimPatience;
    if (onItsWay)
        return;
    watch.claimedSupersedes = supersedes;
    watch.claimSentAt = now;
    const control::Process &self = parts_.control.self();
    parts_.control.append(control::LeaseClaimed { scope, self.instance, self.incarnation,
                                                  supersedes, earliest.basis });
}

void ShareManager::release(absl::Time now)
{
    if (stopping_)
        leaving_ = owned_;
    shares_.prepareRelease(leaving_);
    if (leaving_.empty() || !parts_.control.isCurrent(now) || !shares_.mayRelease(now))
        return;
    for (const std::uint32_t slot : leaving_) {
        const control::Lease *lease
            = parts_.control.state().leases().find(control::shareScope(slot));
        const bool own = lease != nullptr && lease->isHeld()
            && lease->holder == parts_.control.self() && released_.count(slot) == 0;
        if (!own)
            continue;
        released_.insert(slot);
        setOwnedSlots(now);
        parts_.control.append(control::LeaseReleased { control::shareScope(slot), lease->epoch });
    }
}

void ShareManager::beginRelease()
{
    stopping_ = true;
    if (withdrewAll_)
        return;
    withdrewAll_ = true;
    for (const control::VouchWithdrawn &withdrawal : vouches_.withdrawAll())
        parts_.control.append(withdrawal);
}

bool ShareManager::isReleased() const
{
    return stopping_ && owned_.empty();
}

} // namespace zinniadoor::daemon
