#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace zinniadoor::gateway {

/// Order in which a leader sends to the members of its data centre. The link's queue may not hold
/// a whole burst of messages, and then drops its end.
class BurstOrder
{
public:
    using Receiver = std::pair<std::string, std::string>; ///< Instance and address.

    /// The receivers of the next burst.
    std::vector<Receiver> next(const std::map<std::string, std::string> &addresses);
};

} // namespace zinniadoor::gateway
