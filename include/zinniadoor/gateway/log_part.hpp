#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include "zinniadoor/gateway/peer_message.hpp"
#include "zinniadoor/gateway/platform_ports.hpp"

namespace zinniadoor::gateway {

/// A record of a keyed log that is not a mere heartbeat of its writer.
struct LogPartRecord
{
    LogOffset offset = 0;
    std::string key;
    std::optional<std::string> value; ///< Empty: the key was dropped.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(offset, key, value);
    }
};

/// A range of a log, sent to the other instances by the one that has just read it.
struct LogPart
{
    static constexpr std::uint8_t CurrentFormat
        = 13; ///< Distinct from that of every other message.

    std::uint8_t format = CurrentFormat;
    ProcessName sender;
    LogName log = LogName::Endpoints;
    std::uint32_t ageMs = 0; ///< Time since the store was read, when the part is sent.
    LogPosition from;
    LogPosition to; ///< After the range, in the same era.
    bool includesRecords = true; ///< False: read the range from the store.
    std::vector<LogPartRecord> records; ///< In order.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(format, sender, log, ageMs, from, to, includesRecords, records);
    }
};

} // namespace zinniadoor::gateway
