#pragma once

#include <cstdint>
#include <string>

namespace zinniadoor::ctl {

/// Human-readable summary of one log entry. Holds no key digests, request bodies or responses.
struct FrameSummary
{
    std::string writer; ///< "?" if the entry cannot be decoded.
    std::uint64_t sequence = 0;
    std::uint64_t version = 0; ///< Bundle version active at the writer.
    std::string records; ///< Names of the records; "heartbeat" if there are none.
};

FrameSummary summariseFrame(const std::string &bytes);

} // namespace zinniadoor::ctl
