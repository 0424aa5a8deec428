#pragma once

#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include "zinniadoor/base/ids.hpp"

namespace zinniadoor::serving {

/// What an endpoint's answer said about its limit.
struct LimitReport
{
    base::EndpointId endpoint;
    std::optional<double> perSecond; ///< Empty: no limit.
    absl::Duration age; ///< Time since the answer.
};

/// Bounds the rates of calls to endpoints that limit what they accept from all instances together.
/// Each limited endpoint is called by a subset of the instances that all of them derive from the
/// same hash, small enough that an equal part of the limit is a usable rate. Instances need not
/// hear each other for the bound to hold. Not thread-safe.
class EndpointLimits
{
public:
    /// Sets this instance and all instances that may be running, including this one. Until then,
    /// limited endpoints are not called.
    void setInstances(const std::string &self, std::vector<std::string> instances, absl::Time now);

    /// Drops the state of all other endpoints.
    void setEndpoints(const std::vector<base::EndpointId> &endpoints);

    /// An endpoint has restarted.
    void forget(const base::EndpointId &endpoint) { limits_.erase(endpoint); }

    /// An endpoint answered at `answeredAt`, to this instance or to another one. Returns whether
    /// the limit has changed.
    bool note(const base::EndpointId &endpoint, std::optional<double> perSecond,
              absl::Time answeredAt, absl::Time now);

    bool mayCall(const base::EndpointId &endpoint, absl::Time now) const;
    void noteCall(const base::EndpointId &endpoint, absl::Time now);

    /// Earliest time at which this instance may call the endpoint; infinite if only others may.
    absl::Time availableFrom(const base::EndpointId &endpoint, absl::Time now) const;

    /// What other instances should know: limits, and the end of limits, that answers have shown
    /// recently.
    std::vector<LimitReport> reports(absl::Time now) const;

private:
    struct Limit
    {
        std::optional<double> perSecond; ///< Of all instances; empty: not limited any more.
        absl::Time answeredAt; ///< Of the latest answer that showed it.
        absl::Time changedAt; ///< When `perSecond` was set.
        absl::Time calledAt = absl::InfinitePast();
        double rate = 0; ///< Of this instance, per second.
        double level = 0; ///< Calls that may be made at `filledAt`.
        absl::Time filledAt;
    };

    /// Part of the limit that this instance may use, per second.
    double rateOf(const base::EndpointId &endpoint, double perSecond) const;
    double levelAt(const Limit &limit, absl::Time now) const;

    /// When a limit of which nothing has been heard is tested with one call.
    absl::Time nextProbe(const Limit &limit) const;

    std::string self_;
    std::vector<std::string> instances_; ///< Sorted; empty: unknown.
    absl::flat_hash_map<base::EndpointId, Limit> limits_;
};

} // namespace zinniadoor::serving
