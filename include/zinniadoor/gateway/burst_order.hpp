#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace zinniadoor::gateway {

/// Order in which a leader sends to the members of its data centre. The link's queue may not hold
/// a whole burst of messages, and then drops its end; so each burst starts at another member, and
/// none misses many in a row.
class BurstOrder
{
public:
    using Receiver = std::pair<std::string, std::string>; ///< Instance and address.

    /// The receivers of the next burst.
    std::vector<Receiver> next(const std::map<std::string, std::string> &addresses);

private:
    double start_ = 0; ///< First receiver of the next burst, as a part of all.
};

} // namespace zinniadoor::gateway
