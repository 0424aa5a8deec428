#include "zinniadoor/serving/crash_evidence.hpp"

#include <algorithm>
#include <utility>

#include "absl/container/flat_hash_set.h"

#include "zinniadoor/serving/engine_view.hpp"

namespace zinniadoor::serving {

namespace {

/// Requests on one endpoint that are remembered as part of its crash.
constexpr std::size_t MaxSameCrash = 16;

} // namespace

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

// Two copies of one request may end two endpoints at the same moment, so that no time between
// crashes is required.
CrashEvidenceOptions CrashEvidenceOptions::ofBodies()
{
    CrashEvidenceOptions options;
    options.crashesToRefuse = 2;
    options.requestsToRefuse = 1;
    options.retention = absl::Minutes(30);
    options.outageWindow = absl::ZeroDuration();
    options.firstRest = absl::Seconds(30);
    return options;
}

CrashEvidence::CrashEvidence(const CrashEvidenceOptions &options)
    : options_(options)
{ }

CrashReports CrashEvidence::noteCrash(const std::vector<SuspectKey> &keys, std::uint64_t request,
                                      const base::EndpointId &endpoint, absl::Time now)
{
    CrashReports reports;
    for (const SuspectKey key : keys) {
        if (isTrusted(lastAnswer(key), now))
            continue;
        add(key, { request, endpoint, now, {} }, now);
        reports.crashes.push_back({ key, request, endpoint, absl::ZeroDuration() });
    }
    return reports;
}

CrashReports CrashEvidence::noteSuccess(const std::vector<SuspectKey> &keys, absl::Time now)
{
    CrashReports reports;
    for (const SuspectKey key : keys) {
        const bool isSuspected = suspects_.contains(key);
        noteAnswered(key, now, now);
        Answered &answered = answered_.find(key)->second;
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

CrashEvidence::Merged CrashEvidence::merge(const CrashReports &reports, absl::Time now)
{
    const absl::Duration maxAge = options_.retention - options_.reportMargin;
    const auto ageOf
        = [](const auto &report) { return std::max(report.age, absl::ZeroDuration()); };
    Merged merged;
    for (const SuspectCrash &crash : reports.crashes) {
        const absl::Duration age = ageOf(crash);
        if (age >= maxAge)
            continue;
        if (add(crash.key, { crash.request, crash.endpoint, now - age, {} }, now))
            merged.news.crashes.push_back(crash);
        const auto found = answered_.find(crash.key);
        if (found == answered_.end() || now - found->second.at >= options_.retention)
            continue;
        Answered &answered = found->second;
        answered.reportedAt = now;
        if (now - answered.announcedAt < options_.announceInterval)
            continue;
        answered.announcedAt = now;
        merged.reply.successes.push_back({ crash.key, now - answered.at });
    }
    // An answer is reported as long as the crashes after it, so that it may be older than these.
    for (const SuspectAnswer &success : reports.successes) {
        const absl::Duration age = ageOf(success);
        if (age >= options_.retention + maxAge)
            continue;
        if (now - age > lastAnswer(success.key) + options_.announceInterval)
            merged.news.successes.push_back(success);
        noteAnswered(success.key, now - age, now);
    }
    for (const SuspectTrial &trial : reports.trials) {
        const auto found = suspects_.find(trial.key);
        if (found == suspects_.end() || ageOf(trial) >= maxAge)
            continue;
        const absl::Time at = now - ageOf(trial);
        if (at > found->second.triedAt + options_.announceInterval)
            merged.news.trials.push_back(trial);
        found->second.triedAt = std::max(found->second.triedAt, at);
    }
    return merged;
}

bool CrashEvidence::isRefused(SuspectKey key, absl::Time now) const
{
    const auto found = suspects_.find(key);
    return found != suspects_.end() && isRefused(found->second, now);
}

bool CrashEvidence::isSuspected(SuspectKey key, absl::Time now) const
{
    const auto found = suspects_.find(key);
    return found != suspects_.end() && now - found->second.crashes.back().at < options_.retention;
}

std::optional<SuspectKey> CrashEvidence::refusedKey(const std::vector<SuspectKey> &keys,
                                                    absl::Time now) const
{
    const auto found = std::find_if(keys.begin(), keys.end(),
                                    [&](SuspectKey key) { return isRefused(key, now); });
    return found == keys.end() ? std::nullopt : std::optional<SuspectKey>(*found);
}

bool CrashEvidence::mayTry(SuspectKey key, absl::Time now) const
{
    const auto found = suspects_.find(key);
    if (found == suspects_.end())
        return false;
    const Suspect &suspect = found->second;
    const absl::Time last = std::max(suspect.crashes.back().at, suspect.triedAt);
    return turns_.isOpen(now - last - restOf(suspect, now));
}

CrashReports CrashEvidence::noteTrial(SuspectKey key, absl::Time now)
{
    CrashReports reports;
    const auto found = suspects_.find(key);
    if (found == suspects_.end())
        return reports;
    found->second.triedAt = now;
    reports.trials.push_back({ key, absl::ZeroDuration() });
    return reports;
}

void CrashEvidence::setInstances(const std::string &self, std::vector<std::string> instances)
{
    turns_.setInstances(self, std::move(instances));
}

std::vector<base::EndpointId> CrashEvidence::crashedEndpoints(SuspectKey key) const
{
    std::vector<base::EndpointId> endpoints;
    const auto found = suspects_.find(key);
    if (found == suspects_.end())
        return endpoints;
    for (const Crash &crash : found->second.crashes)
        endpoints.push_back(crash.endpoint);
    return endpoints;
}

CrashReports CrashEvidence::entries(absl::Time now, std::size_t limit) const
{
    struct Ranked
    {
        SuspectKey key = 0;
        bool isRefused = false;
        const Suspect *suspect = nullptr;
    };
    std::vector<Ranked> ranked;
    for (const auto &[key, suspect] : suspects_)
        ranked.push_back({ key, isRefused(suspect, now), &suspect });
    std::sort(ranked.begin(), ranked.end(), [](const Ranked &a, const Ranked &b) {
        if (a.isRefused != b.isRefused)
            return a.isRefused;
        return std::pair(a.suspect->crashes.back().at, a.key)
            > std::pair(b.suspect->crashes.back().at, b.key);
    });
    CrashReports reports;
    for (const auto &[key, isRefused, suspect] : ranked) {
        if (reports.crashes.size() >= limit)
            break;
        const Crashes &crashes = suspect->crashes;
        for (auto crash = crashes.rbegin(); crash != crashes.rend(); ++crash) {
            if (reports.crashes.size() < limit && now - crash->at < options_.retention)
                reports.crashes.push_back(
                    { key, crash->request, crash->endpoint, now - crash->at });
        }
        if (wasAnswered(*suspect))
            reports.successes.push_back({ key, now - suspect->answeredAt });
        if (now - suspect->triedAt < options_.retention)
            reports.trials.push_back({ key, now - suspect->triedAt });
    }
    return reports;
}

void CrashEvidence::expire(absl::Time now)
{
    const auto isOld = [&](const Crash &crash) { return now - crash.at >= options_.retention; };
    absl::erase_if(suspects_, [&](auto &entry) {
        Crashes &crashes = entry.second.crashes;
        crashes.erase(std::remove_if(crashes.begin(), crashes.end(), isOld), crashes.end());
        return crashes.empty();
    });
    while (!answeredOrder_.empty()
           && now - lastAnswer(answeredOrder_.front()) >= options_.retention) {
        answered_.erase(answeredOrder_.front());
        answeredOrder_.pop_front();
    }
}

bool CrashEvidence::isTrusted(absl::Time answer, absl::Time crash) const
{
    return answer >= crash - options_.trust;
}

bool CrashEvidence::wasAnswered(const Suspect &suspect) const
{
    return suspect.crashes.front().at - suspect.answeredAt < options_.retention;
}

bool CrashEvidence::isRefused(const Suspect &suspect, absl::Time now) const
{
    const Crashes &crashes = suspect.crashes;
    if (!wasAnswered(suspect))
        return isConclusive(crashes, options_.crashesToRefuse, now);
    return isConclusive(crashes, options_.crashesToRefuseAnswered, now)
        && isConclusive(unexplained(crashes, now), options_.crashesToRefuseAnswered, now);
}

// A key that was never answered and is refused explains the crashes of its time: the requests with
// it have other keys too, and all requests on the endpoint are lost.
CrashEvidence::Crashes CrashEvidence::unexplained(Crashes crashes, absl::Time now) const
{
    for (const auto &[key, other] : suspects_) {
        if (wasAnswered(other) || !isConclusive(other.crashes, options_.crashesToRefuse, now))
            continue;
        const absl::Time from = other.crashes.front().at - options_.duplicateWindow;
        const absl::Time to = other.crashes.back().at + options_.duplicateWindow;
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

absl::Duration CrashEvidence::restOf(const Suspect &suspect, absl::Time now) const
{
    const std::uint32_t needed
        = wasAnswered(suspect) ? options_.crashesToRefuseAnswered : options_.crashesToRefuse;
    const auto recent
        = std::count_if(suspect.crashes.begin(), suspect.crashes.end(),
                        [&](const Crash &crash) { return now - crash.at < options_.retention; });
    absl::Duration rest = options_.firstRest;
    for (std::ptrdiff_t i = needed; i < recent && rest < options_.retention; ++i)
        rest *= options_.restGrowth;
    return std::min(rest, options_.retention);
}

absl::Time CrashEvidence::lastAnswer(SuspectKey key) const
{
    const auto suspect = suspects_.find(key);
    const auto answered = answered_.find(key);
    return std::max(suspect == suspects_.end() ? absl::InfinitePast() : suspect->second.answeredAt,
                    answered == answered_.end() ? absl::InfinitePast() : answered->second.at);
}

bool CrashEvidence::add(SuspectKey key, const Crash &crash, absl::Time now)
{
    const absl::Time answer = lastAnswer(key);
    if (isTrusted(answer, crash.at))
        return false;
    if (!suspects_.contains(key) && suspects_.size() >= options_.capacity)
        evictOne(now);
    Suspect &suspect = suspects_[key];
    suspect.answeredAt = answer;
    Crashes &crashes = suspect.crashes;
    bool isSeparate = true;
    absl::flat_hash_set<std::uint64_t> requests;
    for (Crash &other : crashes) {
        const absl::Duration apart = absl::AbsDuration(other.at - crash.at);
        isSeparate = isSeparate && apart >= options_.outageWindow;
        requests.insert(other.request);
        if (other.endpoint != crash.endpoint)
            continue;
        // A report may be received late, and again; then it seems to be of a later crash.
        std::vector<std::uint64_t> &same = other.sameCrash;
        const bool isKnown = crash.request != 0
            && (other.request == crash.request
                || std::find(same.begin(), same.end(), crash.request) != same.end());
        if (isKnown)
            return false;
        if (apart < options_.duplicateWindow) {
            if (same.size() < MaxSameCrash)
                same.push_back(crash.request);
            return false;
        }
    }
    // Further crashes don't change the verdict.
    if (isConclusive(crashes, options_.crashesToRefuseAnswered, now))
        return false;
    const bool isNewRequest
        = requests.size() < options_.requestsToRefuse && !requests.contains(crash.request);
    if (!isSeparate && !isNewRequest)
        return false;
    const auto position
        = std::upper_bound(crashes.begin(), crashes.end(), crash.at,
                           [](absl::Time at, const Crash &other) { return at < other.at; });
    crashes.insert(position, crash);
    // One request that is tried again and again.
    const std::size_t limit = options_.crashesToRefuseAnswered + options_.requestsToRefuse;
    if (crashes.size() > limit)
        crashes.erase(crashes.begin());
    return true;
}

void CrashEvidence::noteAnswered(SuspectKey key, absl::Time at, absl::Time now)
{
    if (now - at < options_.retention)
        remember(key, at);
    const auto found = suspects_.find(key);
    if (found == suspects_.end())
        return;
    Suspect &suspect = found->second;
    suspect.answeredAt = std::max(suspect.answeredAt, at);
    Crashes &crashes = suspect.crashes;
    crashes.erase(
        std::remove_if(crashes.begin(), crashes.end(),
                       [&](const Crash &crash) { return isTrusted(suspect.answeredAt, crash.at); }),
        crashes.end());
    if (crashes.empty())
        suspects_.erase(found);
}

CrashEvidence::Answered &CrashEvidence::remember(SuspectKey key, absl::Time at)
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
    return answered;
}

// Evicts keys that are not refused first, and of these the one whose last crash is the oldest.
void CrashEvidence::evictOne(absl::Time now)
{
    auto victim = suspects_.end();
    std::pair<bool, absl::Time> lowest;
    for (auto entry = suspects_.begin(); entry != suspects_.end(); ++entry) {
        const std::pair value { isRefused(entry->second, now), entry->second.crashes.back().at };
        if (victim == suspects_.end() || value < lowest) {
            victim = entry;
            lowest = value;
        }
    }
    if (victim != suspects_.end())
        suspects_.erase(victim);
}

} // namespace zinniadoor::serving
