#include "zinniadoor/gateway/endpoint_directory.hpp"

#include <algorithm>
#include <utility>

#include "zinniadoor/serving/engine_view.hpp"

namespace zinniadoor::gateway {

namespace {

/// Records published before an endpoint was found to be replaced may arrive for this long.
constexpr absl::Duration DirectoryLag = absl::Seconds(3);

/// A remaining time that shrinks continues the same cold period.
bool impliesColdness(const std::optional<absl::Duration> &before,
                     const std::optional<absl::Duration> &after)
{
    if (!before || !after)
        return before.has_value() == after.has_value();
    const bool wasCold = *before > absl::ZeroDuration();
    const bool isCold = *after > absl::ZeroDuration();
    return wasCold == isCold && (!isCold || *after <= *before);
}

} // namespace

std::uint64_t digestOf(const base::EndpointId &endpoint)
{
    return serving::stableDigest(endpoint.str());
}

bool equalExceptTimeLeft(const EndpointRecord &before, const EndpointRecord &after)
{
    return before.service == after.service && before.address == after.address
        && before.dataCentre == after.dataCentre && before.slots == after.slots
        && before.stage == after.stage && before.leaving == after.leaving
        && before.version == after.version && before.reclaimable == after.reclaimable
        && before.startTimeMs == after.startTimeMs
        && impliesColdness(before.coldLeft, after.coldLeft);
}

const char *nameOf(Stage stage)
{
    switch (stage) {
    case Stage::Plain:
        return "plain";
    case Stage::Prefill:
        return "prefill";
    case Stage::Decode:
        return "decode";
    }
    return "unknown";
}

EndpointDirectory::EndpointDirectory(const DirectoryOptions &options)
    : options_(options)
{ }

bool EndpointDirectory::set(const EndpointRecord &record, absl::Time now)
{
    const auto [it, inserted] = entries_.try_emplace(record.id);
    if (inserted)
        byDigest_[digestOf(record.id)] = record.id;
    Entry &entry = it->second;
    noteVersion(inserted ? nullptr : &entry.record, record, now);
    if (now - entry.replacedAt > DirectoryLag)
        entry.replacedAt = absl::InfiniteFuture();
    const bool changed = inserted || !equalExceptTimeLeft(entry.record, record);
    EndpointRecord asCold = record; // A change of coldness is no news of an earlier failure.
    asCold.coldLeft = entry.record.coldLeft;
    failures_.setEndpoint(record.id, record.service, record.dataCentre, record.startTimeMs,
                          inserted || !equalExceptTimeLeft(entry.record, asCold), now);
    if (!changed) {
        entry.record = record;
        return false;
    }
    const bool restarted = !inserted && entry.record.startTimeMs != record.startTimeMs;
    if (restarted || (!inserted && entry.record.address != record.address)) {
        entry = Entry {};
        limits_.forget(record.id);
    }
    if (restarted)
        cold_.forget(record.id);
    entry.record = record;
    return true;
}

void EndpointDirectory::noteVersion(const EndpointRecord *before, const EndpointRecord &record,
                                    absl::Time now)
{
    if (before && before->service == record.service && before->version == record.version)
        return;
    if (before)
        versions_.noteUnlisted(before->service, before->version, now);
    versions_.noteListed(record.service, record.version, now);
}

bool EndpointDirectory::remove(const base::EndpointId &id, absl::Time now)
{
    byDigest_.erase(digestOf(id));
    failures_.removeEndpoint(id);
    cold_.forget(id);
    const auto found = entries_.find(id);
    if (found == entries_.end())
        return false;
    versions_.noteUnlisted(found->second.record.service, found->second.record.version, now);
    entries_.erase(found);
    return true;
}

const base::EndpointId *EndpointDirectory::findByDigest(std::uint64_t digest) const
{
    const auto found = byDigest_.find(digest);
    return found == byDigest_.end() ? nullptr : &found->second;
}

const EndpointRecord *EndpointDirectory::find(const base::EndpointId &id) const
{
    const auto found = entries_.find(id);
    return found == entries_.end() ? nullptr : &found->second.record;
}

std::vector<const EndpointRecord *> EndpointDirectory::usable(const std::string &service,
                                                              absl::Time now,
                                                              const base::EndpointId *excluded,
                                                              const AllowedRegions *regions) const
{
    std::vector<const EndpointRecord *> preferred;
    std::vector<const EndpointRecord *> avoided;
    for (const auto &[id, entry] : entries_) {
        if (entry.record.service != service || !mayCall(entry, now) || !limits_.mayCall(id, now))
            continue;
        if (!cold_.mayCall(id, now) || (regions && !regions->allows(entry.record.dataCentre)))
            continue;
        if (excluded && *excluded == id)
            continue;
        (isAvoided(entry, now) ? avoided : preferred).push_back(&entry.record);
    }
    return preferred.empty() ? avoided : preferred;
}

bool EndpointDirectory::isUsable(const base::EndpointId &id, absl::Time now) const
{
    const auto found = entries_.find(id);
    return found != entries_.end() && mayCall(found->second, now) && !isAvoided(found->second, now);
}

bool EndpointDirectory::hasRoom(const base::EndpointId &id, absl::Time now) const
{
    return mayCall(id, now) && limits_.mayCall(id, now) && cold_.mayCall(id, now);
}

bool EndpointDirectory::isSuspected(const base::EndpointId &id, absl::Time now) const
{
    const auto found = entries_.find(id);
    return found != entries_.end()
        && (now < found->second.suspectedUntil || failures_.isAvoided(id, now));
}

void EndpointDirectory::noteCall(const base::EndpointId &id, absl::Time now)
{
    limits_.noteCall(id, now);
    failures_.noteCall(id, now);
}

bool EndpointDirectory::mayCall(const base::EndpointId &id, absl::Time now) const
{
    const auto found = entries_.find(id);
    return found != entries_.end() && mayCall(found->second, now);
}

bool EndpointDirectory::acceptsWork(const base::EndpointId &id) const
{
    const auto found = entries_.find(id);
    return found != entries_.end() && acceptsWork(found->second);
}

std::optional<absl::Time> EndpointDirectory::availableFrom(const std::string &service,
                                                           absl::Time now,
                                                           const AllowedRegions *regions,
                                                           const std::string *version) const
{
    std::optional<absl::Time> first;
    for (const auto &[id, entry] : entries_) {
        if (entry.record.service != service || !acceptsWork(entry))
            continue;
        if (version && entry.record.version != *version)
            continue;
        if (regions && !regions->allows(entry.record.dataCentre))
            continue;
        const absl::Time from = std::max(
            { entry.backOffUntil, limits_.availableFrom(id, now), cold_.availableFrom(id, now) });
        first = std::min(first.value_or(from), from);
    }
    return first;
}

void EndpointDirectory::setEvacuated(const absl::btree_set<base::DataCentreId> &dataCentres,
                                     absl::Time now)
{
    for (const auto &[id, entry] : entries_) {
        if (isEvacuated(entry.record.dataCentre) && !dataCentres.contains(entry.record.dataCentre))
            cold_.noteReturned(id, entry.record.service, now);
    }
    evacuated_ = dataCentres;
}

std::vector<const EndpointRecord *> EndpointDirectory::all() const
{
    std::vector<const EndpointRecord *> records;
    for (const auto &[id, entry] : entries_)
        records.push_back(&entry.record);
    return records;
}

void EndpointDirectory::noteSuccess(const base::EndpointId &id)
{
    failures_.noteSuccess(id);
    const auto found = entries_.find(id);
    if (found == entries_.end())
        return;
    found->second.failures = 0;
    found->second.suspicions = 0;
    found->second.sheds = 0;
    found->second.suspectedUntil = absl::InfinitePast();
}

bool EndpointDirectory::noteFailure(const base::EndpointId &id, absl::Time now)
{
    const auto found = entries_.find(id);
    if (found == entries_.end())
        return false;
    Entry &entry = found->second;
    ++entry.failures;
    if (entry.failures < options_.consecutiveFailures || now < entry.suspectedUntil)
        return false;
    const std::uint32_t doublings = std::min<std::uint32_t>(entry.suspicions, 6);
    entry.suspectedUntil
        = now + std::min(options_.maxSuspicion, options_.initialSuspicion * (1 << doublings));
    ++entry.suspicions;
    return true;
}

void EndpointDirectory::noteShed(const base::EndpointId &id, absl::Time now)
{
    const auto found = entries_.find(id);
    if (found == entries_.end() || now < found->second.pausedUntil)
        return;
    Entry &entry = found->second;
    const std::uint32_t doublings = std::min<std::uint32_t>(entry.sheds, 10);
    entry.pausedUntil
        = now + std::min(options_.maxShedPause, options_.shedPause * (1 << doublings));
    ++entry.sheds;
}

void EndpointDirectory::noteBackOff(const base::EndpointId &id, absl::Duration backOff,
                                    absl::Time now)
{
    const auto found = entries_.find(id);
    if (found == entries_.end())
        return;
    absl::Time &until = found->second.backOffUntil;
    until = std::max(until, now + std::min(backOff, options_.maxBackOff));
}

bool EndpointDirectory::noteLeaving(const base::EndpointId &id)
{
    const auto found = entries_.find(id);
    return found != entries_.end() && !std::exchange(found->second.reportedLeaving, true);
}

void EndpointDirectory::pause(const base::EndpointId &id, absl::Time until)
{
    const auto found = entries_.find(id);
    if (found != entries_.end())
        found->second.pausedUntil = std::max(found->second.pausedUntil, until);
}

bool EndpointDirectory::noteStageSwitched(const base::EndpointId &id)
{
    const auto found = entries_.find(id);
    if (found == entries_.end() || found->second.record.stage == Stage::Plain)
        return false;
    Stage &stage = found->second.record.stage;
    stage = stage == Stage::Prefill ? Stage::Decode : Stage::Prefill;
    return true;
}

void EndpointDirectory::noteReplaced(const base::EndpointId &id, absl::Time now)
{
    const auto found = entries_.find(id);
    if (found != entries_.end())
        found->second.replacedAt = std::min(found->second.replacedAt, now);
}

} // namespace zinniadoor::gateway
