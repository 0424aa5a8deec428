#pragma once

#include <cstdint>
#include <string>

namespace zinniadoor::ctl {

/// What a person reads of one log record. Holds no key digest, body or answer.
struct FrameSummary
{
    std::string writer; ///< "?" where the record is no frame.
    std::uint64_t sequence = 0;
    std::uint64_t version = 0; ///< Configuration in force at the writer.
    std::string records; ///< Names of the records, or "heartbeat".
};

FrameSummary summariseFrame(const std::string &bytes);

} // namespace zinniadoor::ctl
