#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace zinniadoor::serving {

/// Number of endpoints of one service in one data centre. Reclaimable endpoints cost a fraction of
/// regular ones, but the platform may reclaim all of a data centre at once at short notice.
struct FleetCounts
{
    std::uint32_t regular = 0;
    std::uint32_t reclaimable = 0;

    friend bool operator==(const FleetCounts &a, const FleetCounts &b)
    {
        return a.regular == b.regular && a.reclaimable == b.reclaimable;
    }
};

struct FleetLimits
{
    std::uint32_t minimum = 0; ///< Per data centre, regular and reclaimable together.
    std::uint32_t maximum = 0;
};

struct FleetPolicy
{
    double regularShare = 1.0 / 6; ///< Of the maximum; kept when reclaimable endpoints are lost.
    double reclaimableShare = 5.0 / 6; ///< Of the maximum.

    /// Share of the missing reclaimable endpoints that are replaced by regular ones while the
    /// platform has no reclaimable capacity.
    double replacementShare = 0.4;
};

/// Current fleet of a data centre.
struct FleetState
{
    FleetCounts serving;

    /// The platform refused an order and has added none since.
    bool reclaimableUnavailable = false;
};

/// Returns the counts to order next for each data centre, given those that serve now. Regular
/// endpoints are released only as reclaimable ones already replace them, and an order together with
/// the endpoints still running never exceeds the limits. When a data centre loses its reclaimable
/// endpoints, regular ones replace a share of them until they serve again.
std::map<std::string, FleetCounts> planFleet(const std::map<std::string, FleetState> &states,
                                             const FleetLimits &limits, const FleetPolicy &policy);

} // namespace zinniadoor::serving
