#pragma once

#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include "zinniadoor/base/ids.hpp"

namespace zinniadoor::serving {

/// How many calls a cold endpoint gets in any second: rate x overage + slack.
struct ColdBounds
{
    double overage = 1;
    double slack = 0;
};

/// Properties of a service whose endpoints can be cold.
struct ColdTraits
{
    double perSecond = 0; ///< Calls per second that a cold endpoint tolerates; 0: no limit.
    absl::Duration startTime; ///< For which an endpoint is cold after its start.
};

/// Bounds the calls of all instances together to endpoints that have just started or are cold
/// again, for loads of several hundred requests per second that would crash a cold endpoint. A few
/// instances, chosen by a hash that all of them compute, share the bound in equal token buckets;
/// the others do not call a cold endpoint. The bound holds without messages between instances, also
/// while they have two different views of which instances there are. Not thread-safe.
class ColdEndpoints
{
public:
    explicit ColdEndpoints(const ColdBounds &bounds = {})
        : bounds_(bounds)
    { }

    void setBounds(const ColdBounds &bounds);

    /// Sets the services whose endpoints can be cold. Endpoints of all others are never cold.
    void setServices(absl::flat_hash_map<std::string, ColdTraits> services, absl::Time now);

    /// Sets this instance and all that may be running, including this one. Until then, cold
    /// endpoints are not called.
    void setInstances(const std::string &self, std::vector<std::string> instances, absl::Time now);

    /// An endpoint has started, or may have been without work: it is cold for the start time of
    /// its service.
    void noteStarted(const base::EndpointId &endpoint, const std::string &service, absl::Time now);

    /// The same after an evacuation; records written before its end do not end the coldness.
    void noteReturned(const base::EndpointId &endpoint, const std::string &service, absl::Time now);

    /// The endpoint's record says for how long it stays cold; warm if that is not positive.
    /// Returns whether it has become cold or warm.
    bool noteRecord(const base::EndpointId &endpoint, const std::string &service,
                    absl::Duration left, absl::Time now);

    /// The same in an answer of the endpoint, which is newer than any record.
    bool noteAnswer(const base::EndpointId &endpoint, const std::string &service,
                    absl::Duration left, absl::Time now);

    void forget(const base::EndpointId &endpoint) { endpoints_.erase(endpoint); }

    bool isCold(const base::EndpointId &endpoint, absl::Time now) const;
    /// Whether instances may differ in which records they trust, since an answer or the end of an
    /// evacuation has reached them at different times: records are repeated to them until then.
    bool isSettling(const base::EndpointId &endpoint, absl::Time now) const;
    std::size_t coldCount(absl::Time now) const;

    bool mayCall(const base::EndpointId &endpoint, absl::Time now) const
    {
        return availableFrom(endpoint, now) <= now;
    }

    /// Earliest time at which this instance may call the endpoint.
    absl::Time availableFrom(const base::EndpointId &endpoint, absl::Time now) const;
    void noteCall(const base::EndpointId &endpoint, absl::Time now);

private:
    struct Endpoint
    {
        std::string service;
        absl::Time startedAt = absl::InfinitePast(); ///< Cold from then for the start time.
        absl::Time coldUntil = absl::InfinitePast(); ///< As the endpoint said.
        absl::Time recordsTrustedFrom = absl::InfinitePast(); ///< Those that say that it is warm.
        double rate = 0; ///< Of this instance, per second; 0: it does not call it.
        double level = 0; ///< Calls that may be made at `filledAt`.
        absl::Time filledAt;
        double rank = 0; ///< Of this instance among all, 0 to 1: when its calls resume.
    };
    const ColdTraits *traitsOf(const Endpoint &endpoint) const;
    absl::Time endOf(const Endpoint &endpoint) const;
    bool isCold(const Endpoint &endpoint, absl::Time now) const { return now < endOf(endpoint); }
    Endpoint &entry(const base::EndpointId &id, const std::string &service, absl::Time now);
    bool note(const base::EndpointId &id, const std::string &service, absl::Duration left,
              bool inRecord, absl::Time now);
    void share(const base::EndpointId &id, Endpoint &endpoint) const;
    void shareAll(absl::Time now);
    static double levelAt(const Endpoint &endpoint, absl::Time now);

    ColdBounds bounds_;
    std::string self_;
    std::vector<std::string> instances_; ///< Sorted; empty: unknown.
    absl::flat_hash_map<std::string, ColdTraits> services_;
    absl::flat_hash_map<base::EndpointId, Endpoint> endpoints_;
};

} // namespace zinniadoor::serving
