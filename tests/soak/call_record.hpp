#pragma once

#include <string>

namespace zinniadoor::soak {

/// A request and its response as seen by a client.
struct CallRecord
{
    std::string id;
    std::string path;
    std::string question; ///< Body of the request.
    unsigned status = 0; ///< 0: no response head was received.
    bool complete = false; ///< The response was received completely, by its HTTP framing.
    bool isSigned = false;
    std::string body;
};

} // namespace zinniadoor::soak
