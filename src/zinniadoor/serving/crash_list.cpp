#include "zinniadoor/serving/crash_list.hpp"

#include <algorithm>
#include <functional>
#include <tuple>

namespace zinniadoor::serving {

namespace {

/// Instances that observe one crash.
constexpr std::size_t MaxIdsPerCrash = 16;

/// Differs between the crashes that one instance observes, and most likely between instances.
std::uint64_t crashId(const base::EndpointId &endpoint, absl::Time at)
{
    return std::hash<std::string>()(endpoint.str() + "/" + std::to_string(absl::ToUnixNanos(at)));
}

} // namespace

CrashList::CrashList(const CrashListOptions &options)
    : options_(options)
{ }

void CrashList::begin(const std::string &bodyDigest, const base::EndpointId &endpoint)
{
    ++inFlight_[endpoint][bodyDigest].sent;
}

void CrashList::noteAccepted(const std::string &bodyDigest, const base::EndpointId &endpoint)
{
    const auto bodies = inFlight_.find(endpoint);
    if (bodies == inFlight_.end())
        return;
    const auto body = bodies->second.find(bodyDigest);
    if (body != bodies->second.end())
        body->second.accepted = std::min(body->second.accepted + 1, body->second.sent);
}

void CrashList::end(const std::string &bodyDigest, const base::EndpointId &endpoint, bool accepted)
{
    const auto bodies = inFlight_.find(endpoint);
    if (bodies == inFlight_.end())
        return;
    const auto body = bodies->second.find(bodyDigest);
    if (body == bodies->second.end())
        return;
    if (accepted && body->second.accepted > 0)
        --body->second.accepted;
    if (--body->second.sent == 0)
        bodies->second.erase(body);
    if (bodies->second.empty())
        inFlight_.erase(bodies);
}

std::vector<CrashEntry> CrashList::endpointCrashed(const base::EndpointId &endpoint, absl::Time now)
{
    std::vector<CrashEntry> reported = suspectedCrashes(endpoint, now);
    for (const CrashEntry &entry : reported)
        add(entry, now);
    return reported;
}

std::vector<CrashEntry> CrashList::suspectedCrashes(const base::EndpointId &endpoint,
                                                    absl::Time now)
{
    std::vector<CrashEntry> reported;
    const auto bodies = inFlight_.find(endpoint);
    if (bodies == inFlight_.end())
        return reported;
    for (auto &[bodyDigest, copies] : bodies->second) {
        if (copies.accepted == 0)
            continue;
        copies.accepted = 0; // Counted once; `end` is still called for each copy.
        const CrashEntry entry { bodyDigest, endpoint, absl::ZeroDuration(),
                                 crashId(endpoint, now) };
        reported.push_back(entry);
    }
    return reported;
}

std::vector<CrashEntry> CrashList::merge(const std::vector<CrashEntry> &entries, absl::Time now)
{
    std::vector<CrashEntry> added;
    for (const CrashEntry &entry : entries) {
        const absl::Duration age = std::max(entry.age, absl::ZeroDuration());
        if (age < options_.retention - options_.reportMargin && add(entry, now - age))
            added.push_back(entry);
    }
    return added;
}

bool CrashList::add(const CrashEntry &entry, absl::Time at)
{
    if (!crashes_.contains(entry.bodyDigest) && crashes_.size() >= options_.capacity)
        evictOne();
    std::vector<Crash> &crashes = crashes_[entry.bodyDigest];
    for (Crash &other : crashes) {
        if (other.endpoint != entry.endpoint)
            continue;
        // A report may be received late, and again; then it seems to be of a later crash.
        if (std::find(other.ids.begin(), other.ids.end(), entry.id) != other.ids.end())
            return false;
        if (absl::AbsDuration(other.at - at) < options_.duplicateWindow) {
            if (entry.id != 0 && other.ids.size() < MaxIdsPerCrash)
                other.ids.push_back(entry.id);
            return false;
        }
    }
    // Further crashes don't change the verdict.
    if (crashes.size() >= options_.crashesToRefuse)
        return false;
    crashes.push_back({ entry.endpoint, at, {} });
    if (entry.id != 0)
        crashes.back().ids.push_back(entry.id);
    return true;
}

// Evicts suspect bodies before refused ones, which have crashed endpoints repeatedly.
void CrashList::evictOne()
{
    auto victim = crashes_.begin();
    for (auto entry = crashes_.begin(); entry != crashes_.end(); ++entry) {
        const auto &a = entry->second;
        const auto &b = victim->second;
        if (a.size() < b.size() || (a.size() == b.size() && a.back().at < b.back().at))
            victim = entry;
    }
    if (victim != crashes_.end())
        crashes_.erase(victim);
}

CrashVerdict CrashList::verdict(const std::string &bodyDigest, absl::Time now) const
{
    const auto found = crashes_.find(bodyDigest);
    if (found == crashes_.end())
        return CrashVerdict::Clear;
    const auto recent
        = std::count_if(found->second.begin(), found->second.end(),
                        [&](const Crash &crash) { return now - crash.at < options_.retention; });
    if (recent >= static_cast<std::ptrdiff_t>(options_.crashesToRefuse))
        return CrashVerdict::Refused;
    return recent > 0 ? CrashVerdict::Suspect : CrashVerdict::Clear;
}

base::Reason CrashList::reason(const std::string &bodyDigest) const
{
    std::string text = "this request was running on endpoints that crashed:";
    const auto found = crashes_.find(bodyDigest);
    if (found != crashes_.end()) {
        for (const Crash &crash : found->second)
            text += " " + crash.endpoint.str();
    }
    return { base::ReasonCode::Forbidden, text };
}

std::uint32_t CrashList::copiesInFlight(const std::string &bodyDigest) const
{
    std::uint32_t copies = 0;
    for (const auto &[endpoint, bodies] : inFlight_) {
        const auto body = bodies.find(bodyDigest);
        copies += body == bodies.end() ? 0 : body->second.sent;
    }
    return copies;
}

std::vector<CrashEntry> CrashList::entries(absl::Time now, std::size_t limit) const
{
    using Ranked = std::pair<bool, CrashEntry>;
    std::vector<Ranked> all;
    for (const auto &[bodyDigest, crashes] : crashes_) {
        const bool isAccepted = verdict(bodyDigest, now) != CrashVerdict::Refused;
        for (const Crash &crash : crashes) {
            const std::uint64_t id = crash.ids.empty() ? 0 : crash.ids.front();
            if (now - crash.at < options_.retention)
                all.push_back({ isAccepted, { bodyDigest, crash.endpoint, now - crash.at, id } });
        }
    }
    std::sort(all.begin(), all.end(), [](const Ranked &a, const Ranked &b) {
        return std::tie(a.first, a.second.age) < std::tie(b.first, b.second.age);
    });
    std::vector<CrashEntry> entries;
    for (std::size_t i = 0; i < std::min(limit, all.size()); ++i)
        entries.push_back(std::move(all[i].second));
    return entries;
}

void CrashList::expire(absl::Time now)
{
    for (auto entry = crashes_.begin(); entry != crashes_.end();) {
        auto &crashes = entry->second;
        crashes.erase(std::remove_if(
                          crashes.begin(), crashes.end(),
                          [&](const Crash &crash) { return now - crash.at >= options_.retention; }),
                      crashes.end());
        const auto current = entry++;
        if (crashes.empty())
            crashes_.erase(current);
    }
}

} // namespace zinniadoor::serving
