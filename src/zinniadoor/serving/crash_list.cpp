#include "zinniadoor/serving/crash_list.hpp"

#include <algorithm>

namespace zinniadoor::serving {

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
        body->second.taken = std::min(body->second.taken + 1, body->second.sent);
}

void CrashList::end(const std::string &bodyDigest, const base::EndpointId &endpoint, bool taken)
{
    const auto bodies = inFlight_.find(endpoint);
    if (bodies == inFlight_.end())
        return;
    const auto body = bodies->second.find(bodyDigest);
    if (body == bodies->second.end())
        return;
    if (taken && body->second.taken > 0)
        --body->second.taken;
    if (--body->second.sent == 0)
        bodies->second.erase(body);
    if (bodies->second.empty())
        inFlight_.erase(bodies);
}

std::vector<CrashEntry> CrashList::endpointCrashed(const base::EndpointId &endpoint, absl::Time now)
{
    std::vector<CrashEntry> told;
    const auto bodies = inFlight_.find(endpoint);
    if (bodies == inFlight_.end())
        return told;
    for (auto &[bodyDigest, copies] : bodies->second) {
        if (copies.taken == 0)
            continue;
        copies.taken = 0; // Blamed once; their calls still end.
        add(bodyDigest, { endpoint, now });
        told.push_back({ bodyDigest, endpoint, absl::ZeroDuration() });
    }
    return told;
}

void CrashList::merge(const std::vector<CrashEntry> &entries, absl::Time now)
{
    for (const CrashEntry &entry : entries) {
        const absl::Duration age = std::max(entry.age, absl::ZeroDuration());
        if (age < options_.retention)
            add(entry.bodyDigest, { entry.endpoint, now - age });
    }
}

void CrashList::add(const std::string &bodyDigest, const Crash &crash)
{
    if (!crashes_.contains(bodyDigest) && crashes_.size() >= options_.capacity)
        makeRoom();
    std::vector<Crash> &known = crashes_[bodyDigest];
    for (const Crash &other : known) {
        const absl::Duration apart = absl::AbsDuration(other.at - crash.at);
        if (other.endpoint == crash.endpoint && apart < options_.duplicateWindow)
            return;
    }
    // More than it takes to refuse tells nothing further.
    if (known.size() < options_.crashesToRefuse)
        known.push_back(crash);
}

// Suspects go before refused bodies: those are known to do harm.
void CrashList::makeRoom()
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
    std::vector<CrashEntry> all;
    for (const auto &[bodyDigest, known] : crashes_) {
        for (const Crash &crash : known) {
            if (now - crash.at < options_.retention)
                all.push_back({ bodyDigest, crash.endpoint, now - crash.at });
        }
    }
    std::sort(all.begin(), all.end(),
              [](const CrashEntry &a, const CrashEntry &b) { return a.age < b.age; });
    if (all.size() > limit)
        all.resize(limit);
    return all;
}

void CrashList::expire(absl::Time now)
{
    for (auto entry = crashes_.begin(); entry != crashes_.end();) {
        auto &known = entry->second;
        known.erase(std::remove_if(
                        known.begin(), known.end(),
                        [&](const Crash &crash) { return now - crash.at >= options_.retention; }),
                    known.end());
        const auto current = entry++;
        if (known.empty())
            crashes_.erase(current);
    }
}

} // namespace zinniadoor::serving
