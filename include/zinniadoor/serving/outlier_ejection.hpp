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
    double latencyFactor = 4; ///< Mean first-token time over the median of all that ejects.
    absl::Duration latencyFloor = absl::Milliseconds(500); ///< Never ejected below it.
    std::uint32_t latencySamples = 20; ///< Needed before latency counts.
    absl::Duration firstEjection = absl::Seconds(5); ///< Doubles each time in a row.
    absl::Duration maxEjection = absl::Minutes(2);
    absl::Duration rampUpTime = absl::Seconds(10); ///< From little work to a full share.
    double maxEjectedShare = 0.5; ///< Of all endpoints.
};

/// Takes endpoints that fail or crawl out of use for a while and brings them back slowly.
/// For one thread.
class OutlierEjection
{
public:
    explicit OutlierEjection(const EjectionOptions &options);

    /// Endpoints in use; forgets all others.
    void setEndpoints(const std::vector<base::EndpointId> &endpoints);

    void noteSuccess(const base::EndpointId &endpoint, absl::Duration firstToken, absl::Time now);
    void noteFailure(const base::EndpointId &endpoint, absl::Time now);

    /// Share of its usual work that an endpoint may get: 0 while ejected, 1 in full use.
    double weight(const base::EndpointId &endpoint, absl::Time now) const;

    std::size_t ejectedCount(absl::Time now) const;

private:
    struct Health
    {
        std::uint32_t failures = 0; ///< In a row.
        std::uint32_t samples = 0;
        absl::Duration meanFirstToken;
        std::uint32_t ejections = 0; ///< In a row.
        absl::Time ejectedUntil = absl::InfinitePast();
    };
    void eject(Health &health, absl::Time now);
    bool crawls(const Health &health) const;

    EjectionOptions options_;
    absl::flat_hash_map<base::EndpointId, Health> endpoints_;
};

} // namespace zinniadoor::serving
