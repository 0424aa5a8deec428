#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace zinniadoor::serving {

/// Endpoints of one service in one data centre. Reclaimable ones cost a fraction and may be taken
/// away at short notice, all of a data centre at once.
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
    std::uint32_t minimum = 0; ///< In a data centre, both kinds together.
    std::uint32_t maximum = 0;
};

struct FleetPolicy
{
    double regularShare = 1.0 / 6; ///< Of the maximum; they stay when the others are taken away.
    double reclaimableShare = 5.0 / 6; ///< Of the maximum.

    /// Part of the missing reclaimable endpoints that regular ones stand in for, where the
    /// platform has no reclaimable ones to give.
    double replacementShare = 0.4;
};

/// What is known of a data centre.
struct FleetState
{
    FleetCounts serving;
    bool reclaimableUnavailable = false; ///< The platform refused to give any, and none came since.
};

/// The counts to order next for each data centre, given those that serve now. Regular endpoints
/// are given up only as far as reclaimable ones already stand in for them, and no order exceeds
/// the limits together with what is still there. Answers the load of a data centre whose
/// reclaimable endpoints were taken back: regular ones stand in for them until they serve again.
std::map<std::string, FleetCounts> planFleet(const std::map<std::string, FleetState> &states,
                                             const FleetLimits &limits, const FleetPolicy &policy);

} // namespace zinniadoor::serving
