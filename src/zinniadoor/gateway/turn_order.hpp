#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace zinniadoor::gateway::detail {

/// Instances among which the order separates the first ones.
constexpr double SpreadInstances = 256;

/// Position in an order of turns, from 0 to 1, by an instance's rank alone. Times that grow with
/// the logarithm of a uniform value are far apart for the first few instances and close together
/// for the last, so that few act before they hear of the first, however many instances there are.
inline double orderOf(std::uint64_t rank)
{
    // Ranks of similar names differ in few of the high bits (finalizer of SplitMix64).
    rank = (rank ^ (rank >> 30)) * 0xbf58476d1ce4e5b9ULL;
    rank = (rank ^ (rank >> 27)) * 0x94d049bb133111ebULL;
    rank ^= rank >> 31;
    const double share = std::ldexp(static_cast<double>(rank), -64);
    return 1 + std::log(std::max(share, 1 / SpreadInstances)) / std::log(SpreadInstances);
}

} // namespace zinniadoor::gateway::detail
