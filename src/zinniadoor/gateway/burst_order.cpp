#include "zinniadoor/gateway/burst_order.hpp"

#include <algorithm>
#include <cmath>

namespace zinniadoor::gateway {

namespace {

/// Part of the members by which the start moves with each burst. Irrational, so that no period of
/// longer bursts always starts at the same members.
constexpr double StartStep = 0.381966;

} // namespace

std::vector<BurstOrder::Receiver>
BurstOrder::next(const std::map<std::string, std::string> &addresses)
{
    std::vector<Receiver> receivers(addresses.begin(), addresses.end());
    const auto first = static_cast<std::ptrdiff_t>(start_ * static_cast<double>(receivers.size()));
    std::rotate(receivers.begin(), receivers.begin() + first, receivers.end());
    start_ = std::fmod(start_ + StartStep, 1.0);
    return receivers;
}

} // namespace zinniadoor::gateway
