#include "zinniadoor/gateway/endpoint_feed.hpp"

#include <utility>

#include "zinniadoor/base/events.hpp"

namespace zinniadoor::gateway {

namespace {

/// Shortest outage of the store during which entries may expire.
constexpr absl::Duration MinOutage = absl::Milliseconds(1000);

/// The platform restores expired entries within about 2 s of the recovery of the store.
constexpr absl::Duration RestoreTime = absl::Milliseconds(2300);

/// Entries of endpoints that are gone expire within this time after the recovery of the store.
constexpr absl::Duration ExpiryTime = absl::Seconds(8);

/// How long removed endpoints are remembered. Copies of the store are some seconds old.
constexpr absl::Duration RemovedMemory = absl::Minutes(1);

} // namespace

EndpointFeed::EndpointFeed(EndpointDirectory &directory, const RecordDecoder &decoder)
    : directory_(directory)
    , decoder_(decoder)
{ }

bool EndpointFeed::applyNewest(const NewestRecords &newest, absl::Time now)
{
    noteCurrent(now);
    const bool restored = era_ && *era_ != newest.end.era;
    era_ = newest.end.era;
    if (restored) {
        graceUntil_ = now + RestoreTime;
        heldUntil_ = now + ExpiryTime;
        for (const EndpointRecord *endpoint : directory_.all())
            unconfirmed_.insert(endpoint->id);
        for (const auto &[id, removed] : removed_)
            unconfirmed_.insert(id);
    }
    directory_.noteGap(now);
    bool changed = false;
    absl::flat_hash_set<base::EndpointId> listed;
    listed_.clear();
    held_.clear();
    for (const KeyedRecord &record : newest.records) {
        listed.insert(base::EndpointId(record.key));
        if (isOutdated(record))
            held_[record.key] = record;
        else
            changed |= applyRecord(record, now).directory;
    }
    std::vector<base::EndpointId> missing;
    for (const EndpointRecord *endpoint : directory_.all()) {
        if (!listed.contains(endpoint->id))
            missing.push_back(endpoint->id);
    }
    for (const base::EndpointId &id : missing)
        changed |= remove(id, now);
    firstListing_ = false;
    return changed;
}

EndpointFeed::Change EndpointFeed::applyRecord(const KeyedRecord &record, absl::Time now)
{
    held_.erase(record.key);
    if (record.value)
        return set(record, now);
    listed_.erase(record.key);
    return { remove(base::EndpointId(record.key), now), true };
}

EndpointFeed::Change EndpointFeed::set(const KeyedRecord &record, absl::Time now)
{
    const auto decoded = decoder_.endpoint(record.key, *record.value);
    if (!decoded) {
        if (rejected_.insert(record.key).second) {
            base::logEvent(base::EventId::EndpointRecordRejected,
                           { { "endpoint", record.key }, { "reason", decoded.lastReason().text } });
        }
        listed_.erase(record.key);
        return { remove(base::EndpointId(record.key), now), true };
    }
    removeAt_.erase(decoded->id);
    removed_.erase(decoded->id);
    unconfirmed_.erase(decoded->id);
    const auto [before, isNew] = listed_.try_emplace(record.key, *decoded);
    const bool changed = isNew || !equalExceptTimeLeft(before->second, *decoded);
    before->second = *decoded;
    const EndpointRecord *known = directory_.find(decoded->id);
    const bool started = known ? known->startTimeMs != decoded->startTimeMs : !firstListing_;
    const bool directoryChanged = directory_.set(*decoded, now);
    // An endpoint that is warm again is relayed, since its earlier records may have said the same.
    const bool coldnessChanged = noteColdness(*decoded, started, now);
    const bool repeated = decoded->coldLeft && directory_.cold().isSettling(decoded->id, now);
    return { directoryChanged, changed || coldnessChanged || repeated };
}

bool EndpointFeed::noteColdness(const EndpointRecord &record, bool started, absl::Time now)
{
    serving::ColdEndpoints &cold = directory_.cold();
    const bool wasCold = cold.isCold(record.id, now);
    const bool statesWarm = record.coldLeft && *record.coldLeft <= absl::ZeroDuration();
    if (started && !statesWarm)
        cold.noteStarted(record.id, record.service, now);
    if (record.coldLeft)
        cold.noteRecord(record.id, record.service, *record.coldLeft, now);
    const bool isCold = cold.isCold(record.id, now);
    if (wasCold == isCold)
        return false;
    base::logEvent(
        base::EventId::EndpointColdnessChanged,
        { { "endpoint", record.id.str() },
          { "cold", isCold ? "yes" : "no" },
          { "source", started ? "start" : "record" },
          { "for_ms",
            record.coldLeft ? std::to_string(absl::ToInt64Milliseconds(*record.coldLeft)) : "" } });
    return true;
}

bool EndpointFeed::remove(const base::EndpointId &id, absl::Time now)
{
    if (now < graceUntil_ && directory_.find(id)) {
        removeAt_.try_emplace(id, graceUntil_);
        return false;
    }
    return removeNow(id, now);
}

bool EndpointFeed::removeNow(const base::EndpointId &id, absl::Time now)
{
    if (const EndpointRecord *endpoint = directory_.find(id))
        removed_[id] = { endpoint->startTimeMs, now };
    return directory_.remove(id, now);
}

bool EndpointFeed::isOutdated(const KeyedRecord &record) const
{
    if (!unconfirmed_.contains(base::EndpointId(record.key)))
        return false;
    const auto decoded = decoder_.endpoint(record.key, record.value.value_or(""));
    if (!decoded)
        return false;
    if (const EndpointRecord *known = directory_.find(decoded->id))
        return decoded->startTimeMs < known->startTimeMs
            || (decoded->startTimeMs == known->startTimeMs && !decoded->leaving);
    const auto removed = removed_.find(decoded->id);
    return removed != removed_.end() && decoded->startTimeMs <= removed->second.startTimeMs;
}

bool EndpointFeed::noteCurrent(absl::Time now)
{
    if (failing_ && now - lastCurrent_ > MinOutage)
        graceUntil_ = now + RestoreTime;
    failing_ = false;
    lastCurrent_ = now;
    bool changed = false;
    for (auto it = removeAt_.begin(); it != removeAt_.end();) {
        const auto current = it++;
        if (now >= current->second) {
            changed |= removeNow(current->first, now);
            removeAt_.erase(current);
        }
    }
    // Writes that repeat what the reader of the log knows are not relayed, so an endpoint may have
    // written again unnoticed; a removal or a leave would have been relayed.
    if (now >= heldUntil_) {
        unconfirmed_.clear();
        for (const auto &[key, record] : std::exchange(held_, {}))
            changed |= applyRecord(record, now).directory;
    }
    absl::erase_if(removed_,
                   [now](const auto &entry) { return now - entry.second.at > RemovedMemory; });
    return changed;
}

void EndpointFeed::noteFailure(absl::Time now)
{
    failing_ = true;
    lastCurrent_ = std::min(lastCurrent_, now);
}

} // namespace zinniadoor::gateway
