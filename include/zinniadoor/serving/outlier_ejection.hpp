#pragma once

#include <cstdint>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include "zinniadoor/base/ids.hpp"

namespace zinniadoor::serving {

struct EjectionOptions
{
    std::uint32_t consecutiveFailures = 3;
    double latencyFactor = 4; ///< Ejects above this multiple of the median time to first token.
    absl::Duration latencyFloor = absl::Milliseconds(500); ///< No ejection for latency below this.
    std::uint32_t latencySamples = 20; ///< Samples needed before latency is considered.
    absl::Duration firstEjection = absl::Seconds(5); ///< Doubles with each consecutive ejection.
    absl::Duration maxEjection = absl::Minutes(2);
    absl::Duration rampUpTime = absl::Seconds(10); ///< From the initial to the full weight.
    double maxEjectedShare = 0.5; ///< Of all endpoints.
};

/// Ejects failing or slow endpoints temporarily and ramps their traffic up again afterwards.
/// Not thread-safe.
class OutlierEjection
{
public:
    explicit OutlierEjection(const EjectionOptions &options);

    /// Sets the endpoints in use and drops the state of all others.
    void setEndpoints(const std::vector<base::EndpointId> &endpoints);

    void noteSuccess(const base::EndpointId &endpoint, absl::Duration firstToken, absl::Time now);
    void noteFailure(const base::EndpointId &endpoint, absl::Time now);

    /// Traffic weight of an endpoint: 0 while ejected, 1 in normal operation.
    double weight(const base::EndpointId &endpoint, absl::Time now) const;

    std::size_t ejectedCount(absl::Time now) const;

private:
    struct Health
    {
        std::uint32_t failures = 0; ///< Consecutive.
        std::uint32_t samples = 0;
        absl::Duration meanFirstToken;
        std::uint32_t ejections = 0; ///< Consecutive.
        absl::Time ejectedUntil = absl::InfinitePast();
    };
    void eject(Health &health, absl::Time now);
    bool isSlow(const Health &health) const;

    EjectionOptions options_;
    absl::flat_hash_map<base::EndpointId, Health> endpoints_;
};

} // namespace zinniadoor::serving
