#include "zinniadoor/serving/crash_list.hpp"

#include <algorithm>
#include <utility>

#include "zinniadoor/serving/engine_view.hpp"

namespace zinniadoor::serving {

namespace {

SuspectKey keyOf(const std::string &bodyDigest)
{
    return stableDigest(bodyDigest);
}

} // namespace

CrashList::CrashList(const CrashEvidenceOptions &options)
    : evidence_(options)
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
        constexpr std::uint64_t UnknownRequest = 0;
        if (!evidence_.noteCrash({ keyOf(bodyDigest) }, UnknownRequest, endpoint, now).empty())
            reported.push_back({ bodyDigest, endpoint, absl::ZeroDuration() });
    }
    return reported;
}

void CrashList::noteAnswered(const std::string &bodyDigest, absl::Time now)
{
    report(evidence_.noteSuccess({ keyOf(bodyDigest) }, now));
}

void CrashList::merge(const std::vector<CrashEntry> &entries, absl::Time now)
{
    CrashReports reports;
    for (const CrashEntry &entry : entries)
        reports.crashes.push_back({ keyOf(entry.bodyDigest), 0, entry.endpoint, entry.age });
    report(evidence_.merge(reports, now).reply);
}

void CrashList::merge(const CrashReports &reports, absl::Time now)
{
    evidence_.merge(reports, now);
}

CrashVerdict CrashList::verdict(const std::string &bodyDigest, absl::Time now) const
{
    const SuspectKey key = keyOf(bodyDigest);
    if (evidence_.isRefused(key, now))
        return CrashVerdict::Refused;
    return evidence_.isSuspected(key, now) ? CrashVerdict::Suspect : CrashVerdict::Clear;
}

bool CrashList::mayTry(const std::string &bodyDigest, absl::Time now) const
{
    return evidence_.mayTry(keyOf(bodyDigest), now);
}

void CrashList::noteTrial(const std::string &bodyDigest, absl::Time now)
{
    report(evidence_.noteTrial(keyOf(bodyDigest), now));
}

void CrashList::setInstances(const std::string &self, std::vector<std::string> instances)
{
    evidence_.setInstances(self, std::move(instances));
}

base::Reason CrashList::reason(const std::string &bodyDigest) const
{
    std::string text = "this request was running on endpoints that crashed:";
    for (const base::EndpointId &endpoint : evidence_.crashedEndpoints(keyOf(bodyDigest)))
        text += " " + endpoint.str();
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

void CrashList::report(const CrashReports &reports)
{
    reports_.successes.insert(reports_.successes.end(), reports.successes.begin(),
                              reports.successes.end());
    reports_.trials.insert(reports_.trials.end(), reports.trials.begin(), reports.trials.end());
}

} // namespace zinniadoor::serving
