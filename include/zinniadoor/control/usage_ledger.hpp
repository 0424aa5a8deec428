#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

#include <cereal/types/deque.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/vector.hpp>

#include "zinniadoor/base/ids.hpp"
#include "zinniadoor/base/outcome.hpp"
#include "zinniadoor/control/instance_table.hpp"
#include "zinniadoor/control/lease_table.hpp"
#include "zinniadoor/control/records.hpp"

namespace zinniadoor::control {

/// Number of shards, each with its own lease, among which usage reports are split.
constexpr std::uint32_t UsageShards = 16;

/// The shard of an organisation; must be the same at every instance and in every version.
std::uint32_t usageShardOf(const base::OrganisationId &organisation);

/// Set of sequence numbers, stored as ranges.
class SequenceSet
{
public:
    /// False if the number was already present.
    bool insert(std::uint64_t sequence);
    bool contains(std::uint64_t sequence) const;
    std::size_t ranges() const { return ranges_.size(); }

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(ranges_);
    }

private:
    std::map<std::uint64_t, std::uint64_t> ranges_; ///< First to last number of each range.
};

/// Usage of an organisation.
struct Usage
{
    std::uint64_t requests = 0;
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0;

    void add(const UsageItem &item);
    friend bool operator==(const Usage &a, const Usage &b)
    {
        return a.requests == b.requests && a.promptTokens == b.promptTokens
            && a.outputTokens == b.outputTokens;
    }

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(requests, promptTokens, outputTokens);
    }
};

using UsageByOrganisation = std::map<base::OrganisationId, Usage>;

/// A window with final figures, to be reported.
struct ClosedWindow
{
    std::int64_t window = 0; ///< Seconds since 1970 at the window's start.
    UsageByOrganisation usage;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(window, usage);
    }
};

/// The windows of one shard.
struct UsageShard
{
    std::int64_t lastClosed = -1; ///< Start of the last window closed; -1 for none.
    UsageByOrganisation open; ///< Usage since the last closed window.
    std::deque<ClosedWindow> closed; ///< Unreported windows, oldest first; none is empty.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(lastClosed, open, closed);
    }
};

/// An item that follows its process's previous item by more frames may be counted twice.
constexpr base::Offset UsageInactivityLimitFrames = 50'000'000;

/// Counts each usage item once. Log order determines the figures of each window.
class UsageLedger
{
public:
    UsageLedger()
        : shards_(UsageShards)
    { }

    /// Counts the items not counted before. Includes items of processes without InstanceStarted:
    /// such a process may have served requests during a log outage and ended before the log
    /// recovered.
    base::Status apply(const UsageCounted &record, base::Offset offset);

    /// Closes a window later than the last closed one; windows in between are empty.
    base::Status apply(const WindowClosed &record, const Process &writer, const LeaseTable &leases);
    base::Status apply(const WindowReported &record, const Process &writer,
                       const LeaseTable &leases);

    bool isCounted(const Process &process, std::uint64_t sequence) const;
    const UsageShard &shard(std::uint32_t index) const { return shards_[index]; }
    bool hasShard(std::uint32_t index) const { return index < shards_.size(); }

    /// Evicts the sequence numbers of processes without an item for UsageInactivityLimitFrames.
    void evictInactive(base::Offset offset);

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(shards_, counted_);
        if (shards_.size() != UsageShards)
            throw cereal::Exception("unexpected number of usage shards");
    }

private:
    struct Counted
    {
        SequenceSet sequences;
        base::Offset lastOffset = 0;

        template <typename Archive>
        void serialize(Archive &archive)
        {
            archive(sequences, lastOffset);
        }
    };

    std::vector<UsageShard> shards_;
    std::map<Process, Counted> counted_;
};

} // namespace zinniadoor::control
