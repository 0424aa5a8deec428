#pragma once

#include <optional>
#include <string>
#include <vector>

#include "absl/container/btree_set.h"
#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include "zinniadoor/gateway/allowed_regions.hpp"
#include "zinniadoor/gateway/endpoint_record.hpp"
#include "zinniadoor/serving/cold_endpoints.hpp"
#include "zinniadoor/serving/endpoint_limits.hpp"
#include "zinniadoor/serving/failure_reports.hpp"
#include "zinniadoor/serving/stream_origins.hpp"

namespace zinniadoor::gateway {

struct DirectoryOptions
{
    absl::Duration initialSuspicion = absl::Seconds(1); ///< Duration of the first suspicion.
    absl::Duration maxSuspicion = absl::Seconds(8); ///< Limit of the exponential growth.
    std::uint32_t consecutiveFailures = 2; ///< Threshold for suspecting an endpoint.
    absl::Duration shedPause = absl::Milliseconds(100); ///< After the first rejected request.
    absl::Duration maxShedPause = absl::Milliseconds(1600); ///< Limit of the exponential growth.
    absl::Duration maxBackOff = absl::Hours(24); ///< Longer back-offs are erroneous: clamped.
};

/// Tracks the endpoints listed by the platform together with the health observed on calls to
/// them. Not thread-safe.
class EndpointDirectory
{
public:
    explicit EndpointDirectory(const DirectoryOptions &options);

    /// Adds or updates a record; returns whether anything but its remaining time changed.
    bool set(const EndpointRecord &record, absl::Time now);

    /// Returns whether the endpoint was listed.
    bool remove(const base::EndpointId &id, absl::Time now);

    /// Records between those noted before and those noted from now on may have been missed.
    void noteGap(absl::Time now) { versions_.noteGap(now); }

    const EndpointRecord *find(const base::EndpointId &id) const;

    /// The endpoint whose id has this digest; null if there is none.
    const base::EndpointId *findByDigest(std::uint64_t digest) const;

    /// Endpoints of a service that may be called within their limits, except `excluded`, if set,
    /// and those outside of `regions`, if set; suspected and paused ones only if there are no
    /// others.
    std::vector<const EndpointRecord *> usable(const std::string &service, absl::Time now,
                                               const base::EndpointId *excluded = nullptr,
                                               const AllowedRegions *regions = nullptr) const;
    bool isUsable(const base::EndpointId &id, absl::Time now) const;

    /// Whether recent calls to the endpoint failed; rejected requests do not count.
    bool isSuspected(const base::EndpointId &id, absl::Time now) const;

    /// Whether requests may be sent to the endpoint: it is neither shutting down nor backing off.
    /// Suspicions, pauses and limits are ignored.
    bool mayCall(const base::EndpointId &id, absl::Time now) const;

    /// The same, and the endpoint's limit allows one more call.
    bool hasRoom(const base::EndpointId &id, absl::Time now) const;

    /// The rates to which endpoints limit their calls.
    serving::EndpointLimits &limits() { return limits_; }
    const serving::EndpointLimits &limits() const { return limits_; }

    /// Failures that this and other instances have reported.
    serving::FailureReports &failures() { return failures_; }

    /// A call to the endpoint starts.
    void noteCall(const base::EndpointId &id, absl::Time now);

    /// The endpoints that tolerate few calls since they are cold.
    serving::ColdEndpoints &cold() { return cold_; }
    const serving::ColdEndpoints &cold() const { return cold_; }

    /// The software versions that the endpoints of each service have, or had until recently.
    const serving::ServiceVersions &versions() const { return versions_; }

    /// Nothing may be sent to endpoints of these data centres. Those of data centres that are no
    /// longer in the set count as cold.
    void setEvacuated(const absl::btree_set<base::DataCentreId> &dataCentres, absl::Time now);
    bool isEvacuated(const base::DataCentreId &dataCentre) const
    {
        return evacuated_.contains(dataCentre);
    }

    /// Whether the endpoint accepts work, now or after its back-off.
    bool acceptsWork(const base::EndpointId &id) const;

    /// Earliest time at which an endpoint of the service may be called; nothing if none accepts
    /// work.
    /// With `version`, only endpoints of that software version count.
    std::optional<absl::Time> availableFrom(const std::string &service, absl::Time now,
                                            const AllowedRegions *regions = nullptr,
                                            const std::string *version = nullptr) const;

    std::vector<const EndpointRecord *> all() const;
    bool empty() const { return entries_.empty(); }

    void noteSuccess(const base::EndpointId &id);

    /// A call got no answer. Returns whether the endpoint becomes suspected.
    bool noteFailure(const base::EndpointId &id, absl::Time now);

    /// The endpoint rejected a request; pauses it with exponential back-off.
    void noteShed(const base::EndpointId &id, absl::Time now);

    /// The endpoint requested a back-off: it must get no request at all for this time.
    void noteBackOff(const base::EndpointId &id, absl::Duration backOff, absl::Time now);

    /// The endpoint reported that it is shutting down, which holds until it restarts.
    /// Returns whether this was its first report.
    bool noteLeaving(const base::EndpointId &id);

    /// Avoids the endpoint until `until`, unless there is no other.
    void pause(const base::EndpointId &id, absl::Time until);

    /// The endpoint answered that its stage has changed, ahead of its record in the log. Switches
    /// between prefill and decode; returns whether the record was changed.
    bool noteStageSwitched(const base::EndpointId &id);

    /// Another endpoint answered at its address: treated as gone until it is listed again.
    void noteReplaced(const base::EndpointId &id, absl::Time now);

private:
    struct Entry
    {
        EndpointRecord record;
        std::uint32_t failures = 0; ///< Consecutive.
        std::uint32_t suspicions = 0; ///< Consecutive.
        absl::Time suspectedUntil = absl::InfinitePast();
        std::uint32_t sheds = 0; ///< Consecutive.
        absl::Time pausedUntil = absl::InfinitePast();
        absl::Time replacedAt = absl::InfiniteFuture();
        absl::Time backOffUntil = absl::InfinitePast(); ///< Requested by the endpoint.
        bool reportedLeaving = false;
    };
    bool isAvoided(const Entry &entry, absl::Time now) const
    {
        return now < entry.suspectedUntil || now < entry.pausedUntil
            || failures_.isAvoided(entry.record.id, now);
    }
    bool acceptsWork(const Entry &entry) const
    {
        return !entry.record.leaving && !entry.reportedLeaving
            && entry.replacedAt == absl::InfiniteFuture() && !isEvacuated(entry.record.dataCentre);
    }
    bool mayCall(const Entry &entry, absl::Time now) const
    {
        return acceptsWork(entry) && now >= entry.backOffUntil
            && !failures_.isOutOfUse(entry.record.id, now);
    }

    /// `before`: what was listed of the endpoint; null if nothing was.
    void noteVersion(const EndpointRecord *before, const EndpointRecord &record, absl::Time now);

    DirectoryOptions options_;
    serving::EndpointLimits limits_;
    serving::FailureReports failures_;
    serving::ColdEndpoints cold_;
    serving::ServiceVersions versions_;
    absl::btree_set<base::DataCentreId> evacuated_;
    absl::flat_hash_map<base::EndpointId, Entry> entries_;
    absl::flat_hash_map<std::uint64_t, base::EndpointId> byDigest_;
};

} // namespace zinniadoor::gateway
