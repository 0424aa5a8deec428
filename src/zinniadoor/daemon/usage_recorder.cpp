#include "zinniadoor/daemon/usage_recorder.hpp"

#include <utility>

namespace zinniadoor::daemon {

namespace {

constexpr absl::Duration CopyTimeout = absl::Milliseconds(250);
constexpr int MaxCopyAttempts = 3;

/// Maximum delay of the end of a response while neither a peer nor the log can be reached.
constexpr absl::Duration RecordTimeout = absl::Seconds(1);

} // namespace

UsageRecorder::UsageRecorder(Parts parts)
    : parts_(std::move(parts))
    , counter_(parts_.control.self())
{ }

void UsageRecorder::count(const TokenUsage &used, std::function<void()> done)
{
    PendingUsage pending;
    pending.item = counter_.countUsage(used.organisation, used.promptTokens, used.outputTokens);
    pending.done = std::move(done);
    pending.deadline = parts_.clock.now() + RecordTimeout;
    pending_.emplace(pending.item.sequence, std::move(pending));
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
    for (const auto &[sequence, pending] : pending_) {
        if (state.usage().isCounted(parts_.control.self(), sequence))
            counted.push_back(sequence);
    }
    for (const std::uint64_t sequence : counted)
        complete(sequence);
    const std::vector<control::UsageCounted> orphans
        = copies_.takeOrphans(state, parts_.control.frameAges(), parts_.peerSilence, now);
    for (const control::UsageCounted &orphan : orphans)
        parts_.control.append(orphan);
}

void UsageRecorder::tick(absl::Time now)
{
    copyToPeer(now);
    std::vector<std::uint64_t> expired;
    for (const auto &[sequence, pending] : pending_) {
        if (now >= pending.deadline)
            expired.push_back(sequence);
    }
    for (const std::uint64_t sequence : expired)
        complete(sequence);
    appendBatches();
}

void UsageRecorder::complete(std::uint64_t sequence)
{
    const auto found = pending_.find(sequence);
    if (found == pending_.end())
        return;
    const std::function<void()> done = std::move(found->second.done);
    pending_.erase(found);
    done();
}

std::vector<base::InstanceId> UsageRecorder::copyTargets(absl::Time now) const
{
    std::vector<base::InstanceId> remote;
    std::vector<base::InstanceId> local;
    for (const base::InstanceId &peer : parts_.membership.availableMembers(now)) {
        const control::MemberStatus *view = parts_.membership.find(peer);
        const bool isLive = parts_.membership.livenessOf(peer, now) == control::Liveness::Live;
        if (view == nullptr || !isLive || view->draining || !parts_.messenger.hasAddress(peer))
            continue;
        if (view->lastReceivedAt == absl::InfinitePast())
            continue;
        (view->dataCentre != parts_.dataCentre ? remote : local).push_back(peer);
    }
    return remote.empty() ? local : remote;
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
    for (auto &[sequence, pending] : pending_) {
        if (pending.copyInFlight || pending.copyAttempts >= MaxCopyAttempts)
            continue;
        pending.copyInFlight = true;
        ++pending.copyAttempts;
        copy.items.push_back(pending.item);
        sequences.push_back(sequence);
        if (sequences.size() >= control::MaxUsageBatchItems)
            break;
    }
    if (sequences.empty())
        return;
    const base::InstanceId &target = targets[nextTarget_++ % targets.size()];
    parts_.messenger.call({ target, copy }, CopyTimeout,
                          [this, sequences](const base::Outcome<control::PeerMessage> &reply) {
                              onCopied(sequences, reply);
                          });
}

void UsageRecorder::onCopied(const std::vector<std::uint64_t> &sequences,
                             const base::Outcome<control::PeerMessage> &reply)
{
    for (const std::uint64_t sequence : sequences) {
        const auto found = pending_.find(sequence);
        if (found != pending_.end())
            found->second.copyInFlight = false;
    }
    const auto *ack = reply ? std::get_if<control::UsageCopyAck>(&*reply) : nullptr;
    if (ack == nullptr)
        return;
    for (const std::uint64_t sequence : ack->sequences)
        complete(sequence);
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
