#include "zinniadoor/serving/part_crash_list.hpp"

#include <algorithm>
#include <utility>

#include "absl/container/flat_hash_set.h"

#include "zinniadoor/serving/engine_view.hpp"

namespace zinniadoor::serving {

std::vector<PartKey> sharedPartKeys(const std::vector<PromptSegment> &segments)
{
    std::vector<PartKey> keys;
    for (std::size_t i = 0; i + 1 < segments.size(); ++i) {
        const PartKey key = stableDigest(segments[i].id);
        if (std::find(keys.begin(), keys.end(), key) == keys.end())
            keys.push_back(key);
    }
    return keys;
}

PartCrashList::PartCrashList(const PartCrashOptions &options)
    : options_(options)
{ }

PartReports PartCrashList::noteCrash(const std::vector<PartKey> &parts, std::uint64_t request,
                                     const base::EndpointId &endpoint, absl::Time now)
{
    PartReports reports;
    for (const PartKey part : parts) {
        if (isTrusted(part, now))
            continue;
        add(part, { request, endpoint, now }, now);
        reports.crashes.push_back({ part, request, endpoint, absl::ZeroDuration() });
    }
    return reports;
}

PartReports PartCrashList::noteSuccess(const std::vector<PartKey> &parts, absl::Time now)
{
    PartReports reports;
    for (const PartKey part : parts) {
        const bool isSuspected = crashes_.contains(part);
        Answered &answered = noteAnswered(part, now);
        if (isSuspected)
            answered.reportedAt = now;
        // Repeated, as the first announcement may be lost.
        const bool isDue = now - answered.reportedAt < options_.announceTime
            && now - answered.announcedAt >= options_.announceInterval;
        if (!isSuspected && !isDue)
            continue;
        answered.announcedAt = now;
        reports.successes.push_back({ part, absl::ZeroDuration() });
    }
    return reports;
}

PartReports PartCrashList::merge(const PartReports &reports, absl::Time now)
{
    const absl::Duration maxAge = options_.retention - options_.reportMargin;
    for (const PartSuccess &success : reports.successes) {
        const absl::Duration age = std::max(success.age, absl::ZeroDuration());
        if (age < maxAge)
            noteAnswered(success.part, now - age);
    }
    PartReports reply;
    for (const PartCrash &crash : reports.crashes) {
        const absl::Duration age = std::max(crash.age, absl::ZeroDuration());
        if (age >= maxAge)
            continue;
        add(crash.part, { crash.request, crash.endpoint, now - age }, now);
        if (!wasAnswered(crash.part, now))
            continue;
        Answered &answered = answered_.find(crash.part)->second;
        answered.reportedAt = now;
        if (now - answered.announcedAt < options_.announceInterval)
            continue;
        answered.announcedAt = now;
        reply.successes.push_back({ crash.part, now - answered.at });
    }
    return reply;
}

std::optional<PartKey> PartCrashList::refusedPart(const std::vector<PartKey> &parts,
                                                  absl::Time now) const
{
    for (const PartKey part : parts) {
        const auto found = crashes_.find(part);
        if (found != crashes_.end() && isRefused(part, found->second, now))
            return part;
    }
    return std::nullopt;
}

PartReports PartCrashList::entries(absl::Time now, std::size_t limit) const
{
    struct Suspect
    {
        PartKey part = 0;
        bool isRefused = false;
        absl::Time lastCrash;
    };
    std::vector<Suspect> suspects;
    for (const auto &[part, crashes] : crashes_)
        suspects.push_back({ part, isRefused(part, crashes, now), crashes.back().at });
    std::sort(suspects.begin(), suspects.end(), [](const Suspect &a, const Suspect &b) {
        if (a.isRefused != b.isRefused)
            return a.isRefused;
        return std::pair(a.lastCrash, a.part) > std::pair(b.lastCrash, b.part);
    });
    PartReports reports;
    for (const Suspect &suspect : suspects) {
        if (reports.crashes.size() >= limit)
            break;
        const Crashes &crashes = crashes_.find(suspect.part)->second;
        for (auto crash = crashes.rbegin(); crash != crashes.rend(); ++crash) {
            if (reports.crashes.size() < limit && now - crash->at < options_.retention)
                reports.crashes.push_back(
                    { suspect.part, crash->request, crash->endpoint, now - crash->at });
        }
        if (wasAnswered(suspect.part, now))
            reports.successes.push_back(
                { suspect.part, now - answered_.find(suspect.part)->second.at });
    }
    return reports;
}

void PartCrashList::expire(absl::Time now)
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

bool PartCrashList::isTrusted(PartKey part, absl::Time crash) const
{
    const auto found = answered_.find(part);
    return found != answered_.end() && found->second.at >= crash - options_.trust;
}

bool PartCrashList::wasAnswered(PartKey part, absl::Time now) const
{
    const auto found = answered_.find(part);
    return found != answered_.end() && now - found->second.at < options_.retention;
}

bool PartCrashList::isRefused(PartKey part, const Crashes &crashes, absl::Time now) const
{
    if (!wasAnswered(part, now))
        return isConclusive(crashes, options_.crashesToRefuse, now);
    return isConclusive(crashes, options_.crashesToRefuseAnswered, now)
        && isConclusive(unexplained(crashes, now), options_.crashesToRefuseAnswered, now);
}

// A part that was never answered and is refused explains the crashes of its time: the requests with
// it have other parts too, and all requests on the endpoint are lost.
PartCrashList::Crashes PartCrashList::unexplained(Crashes crashes, absl::Time now) const
{
    for (const auto &[part, others] : crashes_) {
        if (wasAnswered(part, now) || !isConclusive(others, options_.crashesToRefuse, now))
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

bool PartCrashList::isConclusive(const Crashes &crashes, std::uint32_t count, absl::Time now) const
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

void PartCrashList::add(PartKey part, const Crash &crash, absl::Time now)
{
    if (isTrusted(part, crash.at))
        return;
    if (!crashes_.contains(part) && crashes_.size() >= options_.capacity)
        evictOne(now);
    Crashes &crashes = crashes_[part];
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

PartCrashList::Answered &PartCrashList::noteAnswered(PartKey part, absl::Time at)
{
    if (!answered_.contains(part) && answered_.size() >= options_.capacity) {
        answered_.erase(answeredOrder_.front());
        answeredOrder_.pop_front();
    }
    const auto [entry, isNew] = answered_.try_emplace(part);
    Answered &answered = entry->second;
    if (isNew)
        answered.position = answeredOrder_.insert(answeredOrder_.end(), part);
    else if (at > answered.at)
        answeredOrder_.splice(answeredOrder_.end(), answeredOrder_, answered.position);
    answered.at = std::max(answered.at, at);

    const auto found = crashes_.find(part);
    if (found == crashes_.end())
        return answered;
    Crashes &crashes = found->second;
    crashes.erase(std::remove_if(crashes.begin(), crashes.end(),
                                 [&](const Crash &crash) { return isTrusted(part, crash.at); }),
                  crashes.end());
    if (crashes.empty())
        crashes_.erase(found);
    return answered;
}

// Evicts parts that are not refused first, and of these the one whose last crash is the oldest.
void PartCrashList::evictOne(absl::Time now)
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
