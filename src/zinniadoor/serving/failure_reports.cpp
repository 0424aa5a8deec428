#include "zinniadoor/serving/failure_reports.hpp"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

#include "zinniadoor/serving/engine_view.hpp"

namespace zinniadoor::serving {

namespace {

/// Reporters remembered for each endpoint; two are enough for a confirmation.
constexpr std::size_t MaxReporters = 8;

bool isLasting(FailureKind kind)
{
    return kind == FailureKind::Replaced || kind == FailureKind::Leaving;
}

} // namespace

const char *nameOf(FailureKind kind)
{
    switch (kind) {
    case FailureKind::NoConnection:
        return "no_connection";
    case FailureKind::NoAnswer:
        return "no_answer";
    case FailureKind::Replaced:
        return "replaced";
    case FailureKind::Leaving:
        return "leaving";
    case FailureKind::Answered:
        return "answered";
    }
    return "unknown";
}

const char *nameOf(ReportEffect effect)
{
    switch (effect) {
    case ReportEffect::Applied:
        return "applied";
    case ReportEffect::Known:
        return "known";
    case ReportEffect::Ignored:
        return "ignored";
    case ReportEffect::Disbelieved:
        return "disbelieved";
    }
    return "unknown";
}

FailureReports::FailureReports(const FailureReportsOptions &options)
    : options_(options)
{ }

void FailureReports::setInstances(const std::string &self, std::vector<std::string> instances)
{
    self_ = self;
    instances_ = std::move(instances);
}

void FailureReports::setEndpoint(const base::EndpointId &id, const std::string &service,
                                 const base::DataCentreId &dataCentre, std::uint64_t startTimeMs,
                                 bool changed, absl::Time now)
{
    const std::string group = absl::StrCat(service, "\n", dataCentre.str());
    const auto found = entries_.find(id);
    if (found != entries_.end() && found->second.group != group)
        removeEndpoint(id);
    const auto [it, inserted] = entries_.try_emplace(id);
    Entry &entry = it->second;
    if (inserted) {
        entry.group = group;
        entry.digest = stableDigest(id.str());
        groups_[group].members.push_back(id);
    }
    if (!inserted && !changed && entry.startTimeMs == startTimeMs) {
        noteListedAgain(entry, now);
        return;
    }
    entry.startTimeMs = startTimeMs;
    clear(entry);
    decide(groups_[group], now);
}

// A record of the time before the endpoint was replaced may arrive for a while.
void FailureReports::noteListedAgain(Entry &entry, absl::Time now)
{
    const auto end
        = std::remove_if(entry.reports.begin(), entry.reports.end(), [&](const Received &report) {
              return report.kind == FailureKind::Replaced
                  && now - report.failedAt > options_.replacedTime;
          });
    if (end == entry.reports.end())
        return;
    entry.reports.erase(end, entry.reports.end());
    decide(groups_[entry.group], now);
}

void FailureReports::removeEndpoint(const base::EndpointId &id)
{
    const auto found = entries_.find(id);
    if (found == entries_.end())
        return;
    const auto group = groups_.find(found->second.group);
    auto &members = group->second.members;
    members.erase(std::remove(members.begin(), members.end(), id), members.end());
    if (members.empty())
        groups_.erase(group);
    entries_.erase(found);
}

std::optional<FailureReport> FailureReports::noteOwn(const base::EndpointId &id, FailureKind kind,
                                                     absl::Time now)
{
    const auto found = entries_.find(id);
    if (!enabled_ || found == entries_.end())
        return std::nullopt;
    Entry &entry = found->second;
    FailureReport report { entry.digest, entry.startTimeMs, kind,
                           reporter_,    ++lastId_,         absl::ZeroDuration() };
    store(entry, report, now);
    Group &group = groups_[entry.group];
    const bool atFault = isDisbelieved(group, reporter_, now);
    decide(group, now);
    const bool recent = now - entry.reportedAt < options_.ownInterval && entry.reportedKind == kind;
    if (atFault || recent)
        return std::nullopt;
    entry.reportedAt = now;
    entry.reportedKind = kind;
    return report;
}

ReportEffect FailureReports::receive(const base::EndpointId &id, const FailureReport &report,
                                     absl::Time now)
{
    const auto found = entries_.find(id);
    if (!enabled_ || found == entries_.end() || found->second.startTimeMs != report.startTimeMs)
        return ReportEffect::Ignored;
    if (report.reporter == reporter_)
        return ReportEffect::Known;
    Entry &entry = found->second;
    const absl::Duration age = std::max(report.age, absl::ZeroDuration());
    if (age >= options_.avoidTime || now - age <= entry.answeredAt)
        return ReportEffect::Ignored;
    if (!store(entry, report, now))
        return ReportEffect::Known;
    if (report.kind == FailureKind::Answered) // Copies of earlier reports may still arrive.
        entry.answeredAt = std::max(entry.answeredAt, now - age);
    Group &group = groups_[entry.group];
    const bool disbelieved = isDisbelieved(group, report.reporter, now);
    decide(group, now);
    if (!disbelieved || report.kind == FailureKind::Answered)
        return ReportEffect::Applied;
    const bool confirmed = now < std::max(entry.avoidedUntil, entry.outOfUseUntil);
    return confirmed ? ReportEffect::Applied : ReportEffect::Disbelieved;
}

std::optional<FailureReport> FailureReports::noteAnswer(const base::EndpointId &id, bool leaving,
                                                        absl::Time now)
{
    const auto found = entries_.find(id);
    if (found == entries_.end() || leaving)
        return std::nullopt;
    Entry &entry = found->second;
    entry.answeredAt = now;
    const bool wasAvoided = now < std::max(entry.avoidedUntil, entry.outOfUseUntil);
    if (entry.reports.empty())
        return std::nullopt;
    clear(entry);
    decide(groups_[entry.group], now);
    if (!wasAvoided)
        return std::nullopt;
    return FailureReport { entry.digest, entry.startTimeMs, FailureKind::Answered,
                           reporter_,    ++lastId_,         absl::ZeroDuration() };
}

void FailureReports::noteSuccess(const base::EndpointId &id)
{
    const auto found = entries_.find(id);
    if (found == entries_.end())
        return;
    auto &reports = found->second.reports;
    reports.erase(std::remove_if(reports.begin(), reports.end(),
                                 [](const Received &report) { return !isLasting(report.kind); }),
                  reports.end());
    found->second.avoidedUntil = absl::InfinitePast();
}

void FailureReports::noteCall(const base::EndpointId &id, absl::Time now)
{
    const auto found = entries_.find(id);
    if (found != entries_.end() && now < found->second.avoidedUntil)
        found->second.probedSlot = slotOf(found->second, now) + 1;
}

bool FailureReports::isAvoided(const base::EndpointId &id, absl::Time now) const
{
    const auto found = entries_.find(id);
    return enabled_ && found != entries_.end() && now < found->second.avoidedUntil
        && !mayProbe(found->second, now);
}

bool FailureReports::isOutOfUse(const base::EndpointId &id, absl::Time now) const
{
    const auto found = entries_.find(id);
    return enabled_ && found != entries_.end() && now < found->second.outOfUseUntil;
}

void FailureReports::clear(Entry &entry)
{
    entry.reports.clear();
    entry.avoidedUntil = absl::InfinitePast();
    entry.outOfUseUntil = absl::InfinitePast();
    entry.reportedAt = absl::InfinitePast();
}

bool FailureReports::store(Entry &entry, const FailureReport &report, absl::Time now) const
{
    auto &reports = entry.reports;
    reports.erase(std::remove_if(reports.begin(), reports.end(),
                                 [&](const Received &received) { return endOf(received) <= now; }),
                  reports.end());
    const absl::Time failedAt = now - std::max(report.age, absl::ZeroDuration());
    const Received received { report.reporter, report.id, report.kind, failedAt, now };
    const auto known = std::find_if(reports.begin(), reports.end(), [&](const Received &earlier) {
        return earlier.reporter == report.reporter;
    });
    if (known != reports.end() && known->id >= report.id)
        return false;
    if (known != reports.end())
        reports.erase(known);
    if (report.kind == FailureKind::Answered) {
        reports.erase(
            std::remove_if(reports.begin(), reports.end(),
                           [&](const Received &earlier) { return earlier.failedAt <= failedAt; }),
            reports.end());
    }
    if (reports.size() >= MaxReporters)
        reports.erase(reports.begin());
    reports.push_back(received);
    return true;
}

bool FailureReports::isDisbelieved(Group &group, std::uint64_t reporter, absl::Time now) const
{
    std::size_t reported = 0;
    for (const base::EndpointId &id : group.members) {
        for (const Received &report : entries_.at(id).reports) {
            reported += report.reporter == reporter && report.kind != FailureKind::Answered
                && now - report.receivedAt < options_.countTime;
        }
    }
    const double share = options_.reporterShare * static_cast<double>(group.members.size());
    if (static_cast<double>(reported) > std::max(1.0, share))
        group.disbelievedUntil[reporter] = now + options_.avoidTime;
    const auto found = group.disbelievedUntil.find(reporter);
    return found != group.disbelievedUntil.end() && now < found->second;
}

absl::Time FailureReports::endOf(const Received &report) const
{
    return report.failedAt + (isLasting(report.kind) ? options_.lastingTime : options_.avoidTime);
}

void FailureReports::decide(Group &group, absl::Time now)
{
    struct Candidate
    {
        Entry *entry = nullptr;
        std::size_t reporters = 0;
        const Received *latest = nullptr;
        bool wasRuledOut = false;
        absl::Time avoidedUntil = absl::InfinitePast();
        absl::Time outOfUseUntil = absl::InfinitePast();
    };
    for (auto it = group.disbelievedUntil.begin(); it != group.disbelievedUntil.end();)
        it = it->second <= now ? group.disbelievedUntil.erase(it) : std::next(it);
    std::vector<Candidate> candidates;
    for (const base::EndpointId &id : group.members) {
        Candidate candidate;
        candidate.entry = &entries_.at(id);
        candidate.wasRuledOut
            = now < std::max(candidate.entry->avoidedUntil, candidate.entry->outOfUseUntil);
        bool believed = false;
        for (const Received &report : candidate.entry->reports) {
            if (report.kind == FailureKind::Answered || endOf(report) <= now)
                continue;
            ++candidate.reporters;
            believed = believed || group.disbelievedUntil.count(report.reporter) == 0;
            if (!candidate.latest || report.failedAt > candidate.latest->failedAt)
                candidate.latest = &report;
            absl::Time &until
                = isLasting(report.kind) ? candidate.outOfUseUntil : candidate.avoidedUntil;
            until = std::max(until, endOf(report));
        }
        candidate.entry->avoidedUntil = absl::InfinitePast();
        candidate.entry->outOfUseUntil = absl::InfinitePast();
        if (believed || candidate.reporters >= 2)
            candidates.push_back(candidate);
    }
    // All instances keep the same endpoints in use.
    std::sort(candidates.begin(), candidates.end(), [](const Candidate &a, const Candidate &b) {
        return a.reporters != b.reporters ? a.reporters > b.reporters
                                          : a.entry->digest < b.entry->digest;
    });
    const auto limit = static_cast<std::size_t>(options_.avoidedShare
                                                * static_cast<double>(group.members.size()));
    for (std::size_t i = 0; i < std::min(limit, candidates.size()); ++i) {
        const Candidate &candidate = candidates[i];
        Entry &entry = *candidate.entry;
        entry.avoidedUntil = candidate.avoidedUntil;
        entry.outOfUseUntil = candidate.outOfUseUntil;
        // The report of a failed probe does not start the turns anew: the next instance would probe
        // at once, and each would pay for a failed call.
        if (candidate.wasRuledOut)
            continue;
        entry.probedSlot = 0;
        entry.failedAt = candidate.latest->failedAt;
    }
}

std::uint32_t FailureReports::slotOf(const Entry &entry, absl::Time now) const
{
    const std::int64_t slot = (now - entry.failedAt) / options_.probeInterval;
    return static_cast<std::uint32_t>(std::max<std::int64_t>(slot, 0));
}

// Highest random weight, so that the instances agree without messages.
bool FailureReports::mayProbe(const Entry &entry, absl::Time now) const
{
    const std::uint32_t slot = slotOf(entry, now);
    if (entry.probedSlot == slot + 1)
        return false;
    const std::string *first = nullptr;
    std::uint64_t highest = 0;
    for (const std::string &instance : instances_) {
        const std::uint64_t weight = stableDigest(
            absl::StrCat(instance, "#", entry.digest, "#", entry.startTimeMs, "#", slot));
        if (!first || weight > highest) {
            first = &instance;
            highest = weight;
        }
    }
    return first && *first == self_;
}

} // namespace zinniadoor::serving
