#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include "zinniadoor/base/ids.hpp"

namespace zinniadoor::serving {

enum class FailureKind : std::uint8_t {
    NoConnection, ///< The endpoint accepted no connection.
    NoAnswer, ///< Several calls in a row got no answer.
    Replaced, ///< Another endpoint answers at the address.
    Leaving, ///< The endpoint announced that it is about to shut down.
    Answered, ///< The endpoint answered: earlier reports are out of date.
};

/// Stable lower-case name for logs and metrics.
const char *nameOf(FailureKind kind);

/// What one instance has found out about one process of an endpoint.
struct FailureReport
{
    std::uint64_t endpoint = 0; ///< Its digest.
    std::uint64_t startTimeMs = 0; ///< Of the endpoint's process.
    FailureKind kind = FailureKind::NoConnection;
    std::uint64_t reporter = 0; ///< Digest of the reporting process.
    std::uint32_t id = 0; ///< Increases with each report of a reporter.
    absl::Duration age; ///< Time since the failure.
};

enum class ReportEffect : std::uint8_t {
    Applied,
    Known, ///< Has been received before, or is the instance's own.
    Ignored, ///< Out of date, or about an endpoint that is not listed here.
    Disbelieved, ///< The reporter reports too many endpoints: its own connection is at fault.
};

/// Stable lower-case name for metrics.
const char *nameOf(ReportEffect effect);

struct FailureReportsOptions
{
    absl::Duration avoidTime = absl::Milliseconds(1500); ///< Since the failure.
    absl::Duration probeInterval = absl::Milliseconds(500); ///< Each probed by another instance.
    absl::Duration countTime = absl::Seconds(1); ///< In which a reporter's reports are counted.
    double reporterShare = 0.25; ///< Of a service's endpoints in a data centre; at least one.
    double avoidedShare = 0.5; ///< Of them, at most.
    absl::Duration ownInterval = absl::Milliseconds(500); ///< Between own reports of an endpoint.
    absl::Duration replacedTime = absl::Seconds(3); ///< Records may be older for this long.
    absl::Duration lastingTime = absl::Seconds(10); ///< A record shows the change much earlier.
};

/// Decides which endpoints are avoided because this or another instance has reported a failure.
/// Addresses the load of a crashed third of the engines, which each instance would otherwise find
/// out with failed calls of its own. Reports are hints: false ones of one instance concern a part
/// of the endpoints for a short time. Not thread-safe.
class FailureReports
{
public:
    explicit FailureReports(const FailureReportsOptions &options = {});

    /// Without it, nothing is reported and no report has an effect.
    void setEnabled(bool enabled) { enabled_ = enabled; }

    /// Digest of this process.
    void setReporter(std::uint64_t reporter) { reporter_ = reporter; }

    /// The instances of this data centre, including this one, which take turns in probing.
    void setInstances(const std::string &self, std::vector<std::string> instances);

    /// The endpoint is listed. `changed`: it is another process or has moved.
    void setEndpoint(const base::EndpointId &id, const std::string &service,
                     const base::DataCentreId &dataCentre, std::uint64_t startTimeMs, bool changed,
                     absl::Time now);
    void removeEndpoint(const base::EndpointId &id);

    /// This instance has found a failure. Returns the report to be sent, if any: none shortly after
    /// the last one, and none while so many endpoints fail that this instance is at fault.
    std::optional<FailureReport> noteOwn(const base::EndpointId &id, FailureKind kind,
                                         absl::Time now);

    /// The report of another instance about a listed endpoint.
    ReportEffect receive(const base::EndpointId &id, const FailureReport &report, absl::Time now);

    /// The endpoint answered a call. Returns the report to be sent, if others avoid it wrongly.
    std::optional<FailureReport> noteAnswer(const base::EndpointId &id, bool leaving,
                                            absl::Time now);

    /// A call to the endpoint ended well: failures before are over.
    void noteSuccess(const base::EndpointId &id);
    void noteCall(const base::EndpointId &id, absl::Time now);

    /// Whether this instance should not call the endpoint unless there is no other.
    bool isAvoided(const base::EndpointId &id, absl::Time now) const;

    /// Whether the endpoint must not be called until its record changes.
    bool isOutOfUse(const base::EndpointId &id, absl::Time now) const;

private:
    struct Received
    {
        std::uint64_t reporter = 0;
        std::uint32_t id = 0;
        FailureKind kind = FailureKind::NoConnection;
        absl::Time failedAt;
        absl::Time receivedAt;
    };
    struct Entry
    {
        std::string group;
        std::uint64_t digest = 0;
        std::uint64_t startTimeMs = 0;
        std::vector<Received> reports; ///< The latest of each reporter.
        absl::Time answeredAt = absl::InfinitePast();
        absl::Time reportedAt = absl::InfinitePast(); ///< By this instance.
        FailureKind reportedKind = FailureKind::Answered;
        std::uint32_t probedSlot = 0; ///< Plus one; of `failedAt`.
        absl::Time failedAt = absl::InfinitePast(); ///< Of the report that ruled it out.
        absl::Time avoidedUntil = absl::InfinitePast();
        absl::Time outOfUseUntil = absl::InfinitePast();
    };
    /// Endpoints of a service in a data centre.
    struct Group
    {
        std::vector<base::EndpointId> members;
        std::map<std::uint64_t, absl::Time> disbelievedUntil; ///< By reporter.
    };

    void noteListedAgain(Entry &entry, absl::Time now);

    /// Keeps the report; returns whether it is new.
    bool store(Entry &entry, const FailureReport &report, absl::Time now) const;
    bool isDisbelieved(Group &group, std::uint64_t reporter, absl::Time now) const;

    /// Decides again which endpoints of the group are avoided.
    void decide(Group &group, absl::Time now);
    absl::Time endOf(const Received &report) const;
    std::uint32_t slotOf(const Entry &entry, absl::Time now) const;
    bool mayProbe(const Entry &entry, absl::Time now) const;
    static void clear(Entry &entry);

    FailureReportsOptions options_;
    bool enabled_ = true;
    std::uint64_t reporter_ = 0;
    std::uint32_t lastId_ = 0;
    std::string self_;
    std::vector<std::string> instances_;
    absl::flat_hash_map<base::EndpointId, Entry> entries_;
    absl::flat_hash_map<std::string, Group> groups_;
};

} // namespace zinniadoor::serving
