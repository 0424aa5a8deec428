#include "zinniadoor/control/usage_ledger.hpp"

#include "zinniadoor/control/stable_hash.hpp"

namespace zinniadoor::control {

namespace {

base::Reason conflict(const char *text)
{
    return { base::ReasonCode::Conflict, text };
}

} // namespace

std::uint32_t usageShardOf(const base::OrganisationId &organisation)
{
    return static_cast<std::uint32_t>(stableHash(organisation.str()) % UsageShards);
}

bool SequenceSet::contains(std::uint64_t sequence) const
{
    auto after = ranges_.upper_bound(sequence);
    return after != ranges_.begin() && (--after)->second >= sequence;
}

bool SequenceSet::insert(std::uint64_t sequence)
{
    if (contains(sequence))
        return false;
    auto after = ranges_.upper_bound(sequence);
    auto range = ranges_.end();
    if (after != ranges_.begin()) {
        const auto before = std::prev(after);
        if (before->second + 1 == sequence)
            range = before;
    }
    if (range == ranges_.end())
        range = ranges_.emplace(sequence, sequence).first;
    range->second = sequence;
    if (after != ranges_.end() && after->first == sequence + 1) {
        range->second = after->second;
        ranges_.erase(after);
    }
    return true;
}

void Usage::add(const UsageItem &item)
{
    requests += 1;
    promptTokens += item.promptTokens;
    outputTokens += item.outputTokens;
}

base::Status UsageLedger::apply(const UsageCounted &record, base::Offset offset)
{
    Counted &counted = counted_[{ record.instance, record.incarnation }];
    counted.lastOffset = offset;
    for (const UsageItem &item : record.items) {
        if (counted.sequences.insert(item.sequence))
            shards_[usageShardOf(item.organisation)].open[item.organisation].add(item);
    }
    return base::Done {};
}

base::Status UsageLedger::apply(const WindowClosed &record, const Process &writer,
                                const LeaseTable &leases)
{
    if (!hasShard(record.shard))
        return conflict("unknown shard");
    if (!leases.isHolder(usageScope(record.shard), writer, record.epoch))
        return conflict("the writer does not hold the shard's lease in this epoch");
    UsageShard &shard = shards_[record.shard];
    if (record.window <= shard.lastClosed)
        return conflict("the window is already closed");
    shard.lastClosed = record.window;
    if (!shard.open.empty())
        shard.closed.push_back({ record.window, std::move(shard.open) });
    shard.open.clear();
    return base::Done {};
}

base::Status UsageLedger::apply(const WindowReported &record, const Process &writer,
                                const LeaseTable &leases)
{
    if (!hasShard(record.shard))
        return conflict("unknown shard");
    if (!leases.isHolder(usageScope(record.shard), writer, record.epoch))
        return conflict("the writer does not hold the shard's lease in this epoch");
    std::deque<ClosedWindow> &closed = shards_[record.shard].closed;
    if (closed.empty() || closed.front().window != record.window)
        return conflict("the window is not the oldest unreported one");
    closed.pop_front();
    return base::Done {};
}

bool UsageLedger::isCounted(const Process &process, std::uint64_t sequence) const
{
    const auto found = counted_.find(process);
    return found != counted_.end() && found->second.sequences.contains(sequence);
}

void UsageLedger::evictInactive(base::Offset offset)
{
    for (auto row = counted_.begin(); row != counted_.end();) {
        if (row->second.lastOffset + UsageInactivityLimitFrames < offset)
            row = counted_.erase(row);
        else
            ++row;
    }
}

} // namespace zinniadoor::control
