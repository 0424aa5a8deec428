#include "zinniadoor/gateway/burst_order.hpp"

namespace zinniadoor::gateway {

std::vector<BurstOrder::Receiver>
BurstOrder::next(const std::map<std::string, std::string> &addresses)
{
    return { addresses.begin(), addresses.end() };
}

} // namespace zinniadoor::gateway
