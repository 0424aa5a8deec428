#include "zinniadoor/serving/crash_evidence.hpp"

#include <algorithm>
#include <utility>

#include "absl/container/flat_hash_set.h"

#include "zinniadoor/serving/engine_view.hpp"

namespace zinniadoor::serving {

std::vector<SuspectKey> sharedPartKeys(const std::vector<PromptSegment> &segments)
{
    std::vector<SuspectKey> keys;
    for (std::size_t i = 0; i + 1 < segments.size(); ++i) {
        const SuspectKey key = stableDigest(segments[i].id);
        if (std::find(keys.begin(), keys.end(), key) == keys.end())
            keys.push_back(key);
    }
    return keys;
}

CrashEvidence::CrashEvidence(const CrashEvidenceOptions &options)
    : options_(options)
{ }

CrashReports CrashEvidence::noteCrash(const std::vector<SuspectKey> &keys, std::uint64_t request,
                                      const base::EndpointId &endpoint, absl::Time now)
{
    CrashReports reports;
    for (const SuspectKey key : keys) {
        if (isTrusted(key, now))
            continue;
        add(key, { request, endpoint, now }, now);
        reports.crashes.push_back({ key, request, endpoint, absl::ZeroDuration() });
    }
    return reports;
}

CrashReports CrashEvidence::noteSuccess(const std::vector<SuspectKey> &keys, absl::Time now)
{
    CrashReports reports;
    for (const SuspectKey key : keys) {
        const bool isSuspected = crashes_.contains(key);
        Answered &answered = noteAnswered(key, now);
        if (isSuspected)
            answered.reportedAt = now;
        // Repeated, as the first announcement may be lost.
        const bool isDue = now - answered.reportedAt < options_.announceTime
            && now - answered.announcedAt >= options_.announceInterval;
        if (!isSuspected && !isDue)
            continue;
        answered.announcedAt = now;
        reports.successes.push_back({ key, absl::ZeroDuration() });
    }
    return reports;
}

CrashReports CrashEvidence::merge(const CrashReports &reports, absl::Time now)
{
    const absl::Duration maxAge = options_.retention - options_.reportMargin;
    for (const SuspectAnswer &success : reports.successes) {
        const absl::Duration age = std::max(success.age, absl::ZeroDuration());
        if (age < maxAge)
            noteAnswered(success.key, now - age);
    }
    CrashReports reply;
    for (const SuspectCrash &crash : reports.crashes) {
        const absl::Duration age = std::max(crash.age, absl::ZeroDuration());
        if (age >= maxAge)
            continue;
        add(crash.key, { crash.request, crash.endpoint, now - age }, now);
        if (!wasAnswered(crash.key, now))
            continue;
        Answered &answered = answered_.find(crash.key)->second;
        answered.reportedAt = now;
        if (now - answered.announcedAt < options_.announceInterval)
            continue;
        answered.announcedAt = now;
        reply.successes.push_back({ crash.key, now - answered.at });
    }
    return reply;
}

std::optional<SuspectKey> CrashEvidence::refusedKey(const std::vector<SuspectKey> &keys,
                                                    absl::Time now) const
{
    for (const SuspectKey key : keys) {
        const auto found = crashes_.find(key);
        if (found != crashes_.end() && isRefused(key, found->second, now))
            return key;
    }
    return std::nullopt;
}

CrashReports CrashEvidence::entries(absl::Time now, std::size_t limit) const
{
    struct Suspect
    {
        SuspectKey key = 0;
        bool isRefused = false;
        absl::Time lastCrash;
    };
    std::vector<Suspect> suspects;
    for (const auto &[key, crashes] : crashes_)
        suspects.push_back({ key, isRefused(key, crashes, now), crashes.back().at });
    std::sort(suspects.begin(), suspects.end(), [](const Suspect &a, const Suspect &b) {
        if (a.isRefused != b.isRefused)
            return a.isRefused;
        return std::pair(a.lastCrash, a.key) > std::pair(b.lastCrash, b.key);
    });
    CrashReports reports;
    for (const Suspect &suspect : suspects) {
        if (reports.crashes.size() >= limit)
            break;
        const Crashes &crashes = crashes_.find(suspect.key)->second;
        for (auto crash = crashes.rbegin(); crash != crashes.rend(); ++crash) {
            if (reports.crashes.size() < limit && now - crash->at < options_.retention)
                reports.crashes.push_back(
                    { suspect.key, crash->request, crash->endpoint, now - crash->at });
        }
        if (wasAnswered(suspect.key, now))
            reports.successes.push_back(
                { suspect.key, now - answered_.find(suspect.key)->second.at });
    }
    return reports;
}

void CrashEvidence::expire(absl::Time now)
{
    const auto isOld = [&](const Crash &crash) { return now - crash.at >= options_.retention; };
    absl::erase_if(crashes_, [&](auto &entry) {
        Crashes &crashes = entry.second;
        crashes.erase(std::remove_if(crashes.begin(), crashes.end(), isOld), crashes.end());
        return crashes.empty();
    });
    while (!answeredOrder_.empty() && !wasAnswered(answeredOrder_.front(), now)) {
        answered_.erase(answeredOrder_.front());
        answeredOrder_.pop_front();
    }
}

bool CrashEvidence::isTrusted(SuspectKey key, absl::Time crash) const
{
    const auto found = answered_.find(key);
    return found != answered_.end() && found->second.at >= crash - options_.trust;
}

bool CrashEvidence::wasAnswered(SuspectKey key, absl::Time now) const
{
    const auto found = answered_.find(key);
    return found != answered_.end() && now - found->second.at < options_.retention;
}

bool CrashEvidence::isRefused(SuspectKey key, const Crashes &crashes, absl::Time now) const
{
    if (!wasAnswered(key, now))
        return isConclusive(crashes, options_.crashesToRefuse, now);
    return isConclusive(crashes, options_.crashesToRefuseAnswered, now)
        && isConclusive(unexplained(crashes, now), options_.crashesToRefuseAnswered, now);
}

// A key that was never answered and is refused explains the crashes of its time: the requests with
// it have other keys too, and all requests on the endpoint are lost.
CrashEvidence::Crashes CrashEvidence::unexplained(Crashes crashes, absl::Time now) const
{
    for (const auto &[key, others] : crashes_) {
        if (wasAnswered(key, now) || !isConclusive(others, options_.crashesToRefuse, now))
            continue;
        const absl::Time from = others.front().at - options_.duplicateWindow;
        const absl::Time to = others.back().at + options_.duplicateWindow;
        crashes.erase(
            std::remove_if(crashes.begin(), crashes.end(),
                           [&](const Crash &crash) { return crash.at >= from && crash.at <= to; }),
            crashes.end());
    }
    return crashes;
}

bool CrashEvidence::isConclusive(const Crashes &crashes, std::uint32_t count, absl::Time now) const
{
    if (crashes.size() < count)
        return false;
    std::uint32_t separate = 0;
    absl::Time last = absl::InfinitePast();
    absl::flat_hash_set<std::uint64_t> requests;
    for (const Crash &crash : crashes) {
        if (now - crash.at >= options_.retention)
            continue;
        requests.insert(crash.request);
        if (crash.at - last < options_.outageWindow)
            continue;
        last = crash.at;
        ++separate;
    }
    return separate >= count && requests.size() >= options_.requestsToRefuse;
}

void CrashEvidence::add(SuspectKey key, const Crash &crash, absl::Time now)
{
    if (isTrusted(key, crash.at))
        return;
    if (!crashes_.contains(key) && crashes_.size() >= options_.capacity)
        evictOne(now);
    Crashes &crashes = crashes_[key];
    bool isSeparate = true;
    absl::flat_hash_set<std::uint64_t> requests;
    for (const Crash &other : crashes) {
        const absl::Duration apart = absl::AbsDuration(other.at - crash.at);
        // A report may be received late, and again; then it seems to be of a later crash.
        const bool isDuplicate = apart < options_.duplicateWindow || other.request == crash.request;
        if (other.endpoint == crash.endpoint && isDuplicate)
            return;
        isSeparate = isSeparate && apart >= options_.outageWindow;
        requests.insert(other.request);
    }
    // Further crashes don't change the verdict.
    if (isConclusive(crashes, options_.crashesToRefuseAnswered, now))
        return;
    const bool isNewRequest
        = requests.size() < options_.requestsToRefuse && !requests.contains(crash.request);
    if (!isSeparate && !isNewRequest)
        return;
    const auto position
        = std::upper_bound(crashes.begin(), crashes.end(), crash.at,
                           [](absl::Time at, const Crash &other) { return at < other.at; });
    crashes.insert(position, crash);
    // One request that is tried again and again.
    const std::size_t limit = options_.crashesToRefuseAnswered + options_.requestsToRefuse;
    if (crashes.size() > limit)
        crashes.erase(crashes.begin());
}

CrashEvidence::Answered &CrashEvidence::noteAnswered(SuspectKey key, absl::Time at)
{
    if (!answered_.contains(key) && answered_.size() >= options_.capacity) {
        answered_.erase(answeredOrder_.front());
        answeredOrder_.pop_front();
    }
    const auto [entry, isNew] = answered_.try_emplace(key);
    Answered &answered = entry->second;
    if (isNew)
        answered.position = answeredOrder_.insert(answeredOrder_.end(), key);
    else if (at > answered.at)
        answeredOrder_.splice(answeredOrder_.end(), answeredOrder_, answered.position);
    answered.at = std::max(answered.at, at);

    const auto found = crashes_.find(key);
    if (found == crashes_.end())
        return answered;
    Crashes &crashes = found->second;
    crashes.erase(std::remove_if(crashes.begin(), crashes.end(),
                                 [&](const Crash &crash) { return isTrusted(key, crash.at); }),
                  crashes.end());
    if (crashes.empty())
        crashes_.erase(found);
    return answered;
}

// Evicts keys that are not refused first, and of these the one whose last crash is the oldest.
void CrashEvidence::evictOne(absl::Time now)
{
    auto victim = crashes_.end();
    std::pair<bool, absl::Time> lowest;
    for (auto entry = crashes_.begin(); entry != crashes_.end(); ++entry) {
        const std::pair value { isRefused(entry->first, entry->second, now),
                                entry->second.back().at };
        if (victim == crashes_.end() || value < lowest) {
            victim = entry;
            lowest = value;
        }
    }
    if (victim != crashes_.end())
        crashes_.erase(victim);
}

} // namespace zinniadoor::serving
