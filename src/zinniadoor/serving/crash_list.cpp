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
    std::vector<CrashEntry> reported;
    const auto bodies = inFlight_.find(endpoint);
    if (bodies == inFlight_.end())
        return reported;
    for (auto &[bodyDigest, copies] : bodies->second) {
        if (copies.accepted == 0)
            continue;
        copies.accepted = 0; // Counted once; `end` is still called for each copy.
        add(bodyDigest, { endpoint, now });
        reported.push_back({ bodyDigest, endpoint, absl::ZeroDuration() });
    }
    return reported;
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
        evictOne();
    std::vector<Crash> &crashes = crashes_[bodyDigest];
    for (const Crash &other : crashes) {
        const absl::Duration apart = absl::AbsDuration(other.at - crash.at);
        if (other.endpoint == crash.endpoint && apart < options_.duplicateWindow)
            return;
    }
    // Further crashes don't change the verdict.
    if (crashes.size() < options_.crashesToRefuse)
        crashes.push_back(crash);
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
    std::vector<CrashEntry> all;
    for (const auto &[bodyDigest, crashes] : crashes_) {
        for (const Crash &crash : crashes) {
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
