#pragma once

#include <deque>

#include "zinniadoor/gateway/log_follower.hpp"

namespace zinniadoor::gateway {

/// Records of longer responses are read from the store by each instance: relaying them would take
/// too long.
constexpr std::size_t MaxRelayedBytes = std::size_t { 8 } * 1024;

/// The latest records of a log that its reader relays to the other instances.
class LogUpdates
{
public:
    LogUpdates(const FollowerOptions &options, LogRelay &relay)
        : options_(options)
        , relay_(relay)
    { }

    void add(LogOffset offset, const KeyedRecord &record);
    void discardBefore(LogPosition position);

    /// How much later than due the store has answered, which is the age of what it showed.
    void noteAge(absl::Duration late);

    /// Relays the records up to `end`, where this instance has applied the log. Repeats the records
    /// before `lastRead`, those of the previous part, so that a single lost part is recovered by
    /// the next.
    void relay(LogPosition lastRead, LogPosition end);

    /// Notifies others that the log ends at `end`, without records.
    void announce(LogPosition end);

private:
    std::size_t bytes() const;
    void relayRecords(LogPosition end);
    LogPart newPart(LogPosition from, LogPosition to, bool includesRecords) const;

    FollowerOptions options_;
    LogRelay &relay_;
    std::deque<LogPartRecord> records_; ///< From `from_` on, without heartbeats.
    LogPosition from_;
    std::uint32_t ageMs_ = 0;
};

} // namespace zinniadoor::gateway
