#include "zinniadoor/daemon/share_manager.hpp"

#include <utility>

namespace zinniadoor::daemon {

namespace {

constexpr double RequestCost = 1;
constexpr absl::Duration UpkeepInterval = absl::Milliseconds(500);
constexpr absl::Duration PlanInterval = absl::Milliseconds(250);

control::RateSharesOptions shareOptions(const ShareManager::Parts &parts, std::uint32_t slots)
{
    control::RateSharesOptions options;
    options.instance = parts.control.self().instance;
    options.incarnation = parts.control.self().incarnation;
    options.shareSlots = slots;
    options.seed = parts.seed;
    return options;
}

} // namespace

ShareManager::ShareManager(Parts parts)
    : parts_(std::move(parts))
    , vouches_(parts_.control.self(), parts_.timing)
{ }

control::Admission ShareManager::admit(const base::OrganisationId &organisation, absl::Time now)
{
    if (!shares_)
        return {};
    control::Admission admission = shares_->admit(organisation, RequestCost, now);
    for (const control::OutgoingMessage &message : admission.effects.messages)
        parts_.messenger.send(message);
    admission.effects.messages.clear();
    return admission;
}

void ShareManager::cancel(control::Ticket ticket)
{
    if (shares_)
        shares_->cancel(ticket);
}

void ShareManager::run(const control::Effects &effects)
{
    for (const control::OutgoingMessage &message : effects.messages)
        parts_.messenger.send(message);
    for (const control::Decision &decision : effects.decisions)
        parts_.onDecision(decision);
}

void ShareManager::setConfiguration(const control::Bundle &bundle, absl::Time now)
{
    // The number of slots is fixed by the first configuration that this process sees; the state
    // refuses bundles that change it.
    if (!slots_) {
        slotCount_ = bundle.shareSlots;
        shares_ = std::make_unique<control::RateShares>(shareOptions(parts_, slotCount_));
        slots_ = std::make_unique<control::ShareSlotController>(parts_.control.self(), slotCount_,
                                                                parts_.timing);
    }
    shares_->setOrganisations(bundle.organisations, now);
    useSlots(now);
}

void ShareManager::onApplied(absl::Time readAt)
{
    observeLog(readAt);
    if (!slots_)
        return;
    const control::State &state = parts_.control.state();
    slots_->observe(state.instances(), state.leases(), readAt);
    useSlots(readAt);
}

void ShareManager::observeLog(absl::Time readAt)
{
    const control::ConfirmedFrame &seen = parts_.control.lastSeenFrame();
    if (seen.offset > toldFrame_) {
        toldFrame_ = seen.offset;
        vouches_.onOwnFrameConfirmed(seen.sentAt);
    }
    const control::InstanceTable &instances = parts_.control.state().instances();
    const control::ProcessInfo *info = instances.find(parts_.control.self());
    if (info == nullptr)
        return;
    std::vector<base::InstanceId> attestors;
    for (const base::InstanceId &attestor : info->attestors) {
        if (info->withdrawnAttestations.count(attestor) == 0)
            attestors.push_back(attestor);
    }
    vouches_.setAttestors(attestors);
    vouches_.setSubjects(control::attestationSubjects(parts_.control.self(), instances), readAt);
}

void ShareManager::useSlots(absl::Time now)
{
    if (!slots_)
        return;
    shares_->setLostPeers(parts_.membership.lostMembers(now));
    slots_->updateOwnedSlots(parts_.control.state().leases(), vouches_.mayUseUntil(), *shares_,
                             now);
}

void ShareManager::onMessage(const base::InstanceId &from, const control::PeerMessage &message,
                             absl::Time now)
{
    if (const auto *ask = std::get_if<control::AttestationRequest>(&message)) {
        parts_.messenger.send(vouches_.onRequest(from, *ask, now));
        return;
    }
    if (const auto *answer = std::get_if<control::AttestationResponse>(&message)) {
        vouches_.onResponse(from, *answer, now);
        return;
    }
    if (shares_)
        run(shares_->onMessage(from, message, now));
}

void ShareManager::tick(absl::Time now)
{
    if (shares_)
        run(shares_->tick(now));
    // An attestor that is ticked too rarely takes the gaps for pauses of its own.
    const control::AttestationEffects vouching = vouches_.tick(now);
    for (const control::OutgoingMessage &message : vouching.messages)
        parts_.messenger.send(message);
    for (const control::AttestationWithdrawn &withdrawal : vouching.withdrawals)
        parts_.control.append(withdrawal);
    planSlots(now);
    if (now < nextUpkeepAt_)
        return;
    nextUpkeepAt_ = now + UpkeepInterval;
    useSlots(now); // Looks at every organisation.
}

void ShareManager::planSlots(absl::Time now)
{
    // Claims name offsets that hold now, so they are made when a frame can go out at once.
    const bool canSend = parts_.control.isCurrent(now) && parts_.control.isIdle();
    if (!slots_ || !canSend || now < nextPlanAt_)
        return;
    nextPlanAt_ = now + PlanInterval;
    const control::State &state = parts_.control.state();
    const std::vector<control::Record> records = slots_->plan(
        state.instances(), state.leases(), parts_.membership.availableMembers(now), *shares_, now);
    for (const control::Record &record : records)
        parts_.control.append(record);
}

void ShareManager::beginRelease()
{
    if (stopping_)
        return;
    stopping_ = true;
    if (slots_)
        slots_->stop(*shares_);
    for (const control::AttestationWithdrawn &withdrawal : vouches_.withdrawAll())
        parts_.control.append(withdrawal);
}

bool ShareManager::isReleased(absl::Time now)
{
    if (!stopping_)
        return false;
    return !slots_ || slots_->hasStopped(parts_.control.state().leases(), *shares_, now);
}

} // namespace zinniadoor::daemon
