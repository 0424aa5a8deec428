#include "zinniadoor/daemon/share_manager.hpp"

#include <utility>

namespace zinniadoor::daemon {

namespace {

constexpr double RequestCost = 1;
constexpr absl::Duration RefreshInterval = absl::Milliseconds(500);
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
    , attestations_(parts_.control.self(), parts_.timing)
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

void ShareManager::apply(const control::Effects &effects)
{
    for (const control::OutgoingMessage &message : effects.messages)
        parts_.messenger.send(message);
    for (const control::Decision &decision : effects.decisions)
        parts_.onDecision(decision);
}

void ShareManager::setConfiguration(const control::Bundle &bundle, absl::Time now)
{
    // The first configuration that this process reads fixes the number of slots; the state rejects
    // bundles that change it.
    if (!shareSlots_) {
        slotCount_ = bundle.shareSlots;
        shares_ = std::make_unique<control::RateShares>(shareOptions(parts_, slotCount_));
        shareSlots_ = std::make_unique<control::ShareSlotController>(parts_.control.self(),
                                                                     slotCount_, parts_.timing);
    }
    shares_->setOrganisations(bundle.organisations, now);
    useSlots(now);
}

void ShareManager::onApplied(absl::Time readAt)
{
    observeLog(readAt);
    if (!shareSlots_)
        return;
    const control::State &state = parts_.control.state();
    shareSlots_->observe(state.instances(), state.leases(), readAt);
    useSlots(readAt);
}

void ShareManager::observeLog(absl::Time readAt)
{
    const control::ConfirmedFrame &confirmed = parts_.control.lastConfirmedFrame();
    if (confirmed.offset > lastConfirmedOffset_) {
        lastConfirmedOffset_ = confirmed.offset;
        attestations_.onOwnFrameConfirmed(confirmed.sentAt);
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
    attestations_.setAttestors(attestors);
    attestations_.setSubjects(control::attestationSubjects(parts_.control.self(), instances),
                              readAt);
}

void ShareManager::useSlots(absl::Time now)
{
    if (!shareSlots_)
        return;
    shares_->setLostPeers(parts_.membership.lostMembers(now));
    shareSlots_->updateOwnedSlots(parts_.control.state().leases(), attestations_.mayUseUntil(),
                                  *shares_, now);
}

void ShareManager::onMessage(const base::InstanceId &from, const control::PeerMessage &message,
                             absl::Time now)
{
    if (const auto *request = std::get_if<control::AttestationRequest>(&message)) {
        parts_.messenger.send(attestations_.onRequest(from, *request, now));
        return;
    }
    if (const auto *response = std::get_if<control::AttestationResponse>(&message)) {
        attestations_.onResponse(from, *response, now);
        return;
    }
    if (shares_)
        apply(shares_->onMessage(from, message, now));
}

void ShareManager::tick(absl::Time now)
{
    if (shares_)
        apply(shares_->tick(now));
    // Attestations are ticked at every call: an attestor assumes that a long gap between ticks was
    // a pause of its own process.
    const control::AttestationEffects effects = attestations_.tick(now);
    for (const control::OutgoingMessage &message : effects.messages)
        parts_.messenger.send(message);
    for (const control::AttestationWithdrawn &withdrawal : effects.withdrawals)
        parts_.control.append(withdrawal);
    planSlots(now);
    if (now < nextRefreshAt_)
        return;
    nextRefreshAt_ = now + RefreshInterval;
    useSlots(now); // Visits every organisation, so not at every tick.
}

void ShareManager::planSlots(absl::Time now)
{
    // Claims name offsets that are valid now, so they are made only if a frame can be sent at once.
    const bool canSend = parts_.control.isCurrent(now) && parts_.control.isIdle();
    if (!shareSlots_ || !canSend || now < nextPlanAt_)
        return;
    nextPlanAt_ = now + PlanInterval;
    const control::State &state = parts_.control.state();
    const std::vector<control::Record> records = shareSlots_->plan(
        state.instances(), state.leases(), parts_.membership.availableMembers(now), *shares_, now);
    for (const control::Record &record : records)
        parts_.control.append(record);
}

void ShareManager::startRelease()
{
    if (stopping_)
        return;
    stopping_ = true;
    if (shareSlots_)
        shareSlots_->stop(*shares_);
    for (const control::AttestationWithdrawn &withdrawal : attestations_.withdrawAll())
        parts_.control.append(withdrawal);
}

bool ShareManager::isReleased(absl::Time now)
{
    if (!stopping_)
        return false;
    return !shareSlots_ || shareSlots_->hasStopped(parts_.control.state().leases(), *shares_, now);
}

} // namespace zinniadoor::daemon
