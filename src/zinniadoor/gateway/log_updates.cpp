#include "log_updates.hpp"

#include <algorithm>

namespace zinniadoor::gateway {

namespace {

/// Keeps a part below a usual network MTU.
constexpr std::size_t MaxPartBytes = 1100;

/// Limit of the age given to a part; receivers add their own delays to it.
constexpr std::int64_t MaxAgeMs = std::int64_t { 24 } * 3600 * 1000;

/// Encoded size of a record in addition to its key and value.
constexpr std::size_t RecordOverhead = 32;

std::size_t sizeOf(const LogPartRecord &record)
{
    return RecordOverhead + record.key.size() + (record.value ? record.value->size() : 0);
}

} // namespace

void LogUpdates::add(LogOffset offset, const KeyedRecord &record)
{
    records_.push_back({ offset, record.key, std::nullopt });
    if (options_.relaysRecords)
        records_.back().value = record.value;
}

void LogUpdates::discardBefore(LogPosition position)
{
    if (position.era > from_.era)
        records_.clear();
    from_ = std::max(from_, position);
    while (!records_.empty() && records_.front().offset < from_.offset)
        records_.pop_front();
}

void LogUpdates::noteAge(absl::Duration late)
{
    ageMs_ = static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(absl::ToInt64Milliseconds(late), 0, MaxAgeMs));
}

void LogUpdates::relay(LogPosition lastRead, LogPosition end)
{
    const std::size_t capacity = std::min(MaxRelayedBytes, relay_.capacity());
    if (options_.relaysRecords && bytes() > capacity)
        discardBefore(lastRead); // Without the repetition, they may fit.
    if (records_.empty() || (options_.relaysRecords && bytes() <= capacity))
        relayRecords(end);
    else
        relay_.publish(newPart(from_, end, false));
}

void LogUpdates::announce(LogPosition end)
{
    relay_.publish(newPart(end, end, false));
}

std::size_t LogUpdates::bytes() const
{
    std::size_t bytes = 0;
    for (const LogPartRecord &record : records_)
        bytes += sizeOf(record);
    return bytes;
}

void LogUpdates::relayRecords(LogPosition end)
{
    LogPart part = newPart(from_, end, true);
    std::size_t partBytes = 0;
    for (const LogPartRecord &record : records_) {
        if (partBytes > 0 && partBytes + sizeOf(record) > MaxPartBytes) {
            part.to = { end.era, record.offset };
            relay_.publish(part);
            part = newPart(part.to, end, true);
            partBytes = 0;
        }
        part.records.push_back(record);
        partBytes += sizeOf(record);
    }
    relay_.publish(part);
}

LogPart LogUpdates::newPart(LogPosition from, LogPosition to, bool includesRecords) const
{
    LogPart part;
    part.sender = options_.self;
    part.log = options_.log;
    part.ageMs = ageMs_;
    part.from = from;
    part.to = to;
    part.includesRecords = includesRecords;
    return part;
}

} // namespace zinniadoor::gateway
