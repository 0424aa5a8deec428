#include "zinniadoor/daemon/usage_recorder.hpp"

#include <utility>

namespace zinniadoor::daemon {

namespace {

constexpr absl::Duration CopyTimeout = absl::Milliseconds(250);
constexpr int MostCopyTries = 3;

/// An answer is not held back for longer when neither a peer nor the log can be reached.
constexpr absl::Duration SettleTimeout = absl::Seconds(1);

} // namespace

UsageRecorder::UsageRecorder(Parts parts)
    : parts_(std::move(parts))
    , counter_(parts_.control.self())
{ }

void UsageRecorder::count(const UsedTokens &used, std::function<void()> settled)
{
    Unsettled unsettled;
    unsettled.item = counter_.countUsage(used.organisation, used.promptTokens, used.outputTokens);
    unsettled.settled = std::move(settled);
    unsettled.giveUpAt = parts_.clock.now() + SettleTimeout;
    unsettled_.emplace(unsettled.item.sequence, std::move(unsettled));
}

control::UsageCopyAck UsageRecorder::onCopy(const control::UsageCopy &copy)
{
    control::UsageCopyAck ack;
    ack.instance = copy.instance;
    ack.incarnation = copy.incarnation;
    if (!copies_.hold({ copy.instance, copy.incarnation, copy.items }))
        return ack;
    for (const control::UsageItem &item : copy.items)
        ack.sequences.push_back(item.sequence);
    return ack;
}

void UsageRecorder::onApplied(absl::Time now)
{
    const control::State &state = parts_.control.state();
    copies_.prune(state);
    std::vector<std::uint64_t> counted;
    for (const auto &[sequence, unsettled] : unsettled_) {
        if (state.usage().isCounted(parts_.control.self(), sequence))
            counted.push_back(sequence);
    }
    for (const std::uint64_t sequence : counted)
        settle(sequence);
    const std::vector<control::UsageCounted> orphans
        = copies_.takeOrphans(state, parts_.control.watch(), parts_.peerSilence, now);
    for (const control::UsageCounted &orphan : orphans)
        parts_.control.append(orphan);
}

void UsageRecorder::tick(absl::Time now)
{
    copyToPeer(now);
    std::vector<std::uint64_t> late;
    for (const auto &[sequence, unsettled] : unsettled_) {
        if (now >= unsettled.giveUpAt)
            late.push_back(sequence);
    }
    for (const std::uint64_t sequence : late)
        settle(sequence);
    appendBatches();
}

void UsageRecorder::settle(std::uint64_t sequence)
{
    const auto found = unsettled_.find(sequence);
    if (found == unsettled_.end())
        return;
    const std::function<void()> settled = std::move(found->second.settled);
    unsettled_.erase(found);
    settled();
}

std::vector<base::InstanceId> UsageRecorder::copyTargets(absl::Time now) const
{
    std::vector<base::InstanceId> elsewhere;
    std::vector<base::InstanceId> near;
    for (const base::InstanceId &peer : parts_.membership.availableMembers(now)) {
        const control::MemberStatus *view = parts_.membership.find(peer);
        const bool live = parts_.membership.livenessOf(peer, now) == control::Liveness::Live;
        if (view == nullptr || !live || view->draining || !parts_.messenger.knows(peer))
            continue;
        if (view->lastReceivedAt == absl::InfinitePast())
            continue;
        (view->dataCentre != parts_.dataCentre ? elsewhere : near).push_back(peer);
    }
    return elsewhere.empty() ? near : elsewhere;
}

void UsageRecorder::copyToPeer(absl::Time now)
{
    const std::vector<base::InstanceId> targets = copyTargets(now);
    if (targets.empty())
        return;
    control::UsageCopy copy;
    copy.instance = parts_.control.self().instance;
    copy.incarnation = parts_.control.self().incarnation;
    std::vector<std::uint64_t> sequences;
    for (auto &[sequence, unsettled] : unsettled_) {
        if (unsettled.copying || unsettled.tries >= MostCopyTries)
            continue;
        unsettled.copying = true;
        ++unsettled.tries;
        copy.items.push_back(unsettled.item);
        sequences.push_back(sequence);
        if (sequences.size() >= control::MaxUsageBatchItems)
            break;
    }
    if (sequences.empty())
        return;
    const base::InstanceId &target = targets[nextTarget_++ % targets.size()];
    parts_.messenger.call({ target, copy }, CopyTimeout,
                          [this, sequences](const base::Outcome<control::PeerMessage> &answer) {
                              onCopied(sequences, answer);
                          });
}

void UsageRecorder::onCopied(const std::vector<std::uint64_t> &sequences,
                             const base::Outcome<control::PeerMessage> &answer)
{
    for (const std::uint64_t sequence : sequences) {
        const auto found = unsettled_.find(sequence);
        if (found != unsettled_.end())
            found->second.copying = false;
    }
    const auto *ack = answer ? std::get_if<control::UsageCopyAck>(&*answer) : nullptr;
    if (ack == nullptr)
        return;
    for (const std::uint64_t sequence : ack->sequences)
        settle(sequence);
}

void UsageRecorder::appendBatches()
{
    while (const std::optional<control::UsageCounted> batch = counter_.nextBatch()) {
        if (parts_.control.append(*batch))
            continue;
        counter_.requeue(*batch);
        return;
    }
}

} // namespace zinniadoor::daemon
