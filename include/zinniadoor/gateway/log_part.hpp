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

/// A record of a keyed log that says more than that its writer lives.
struct LogPartRecord
{
    LogOffset offset = 0;
    std::string key;
    std::optional<std::string> value; ///< Nothing: the key was dropped.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(offset, key, value);
    }
};

/// A stretch of a log as the instance that has just read it tells it to its data centre.
struct LogPart
{
    static constexpr std::uint8_t CurrentFormat = 4; ///< Unlike that of any other message.

    std::uint8_t format = CurrentFormat;
    ProcessName sender;
    LogName log = LogName::Endpoints;
    LogOffset from = 0;
    LogOffset to = 0; ///< Offset that follows the stretch.
    bool whole = true; ///< False: its records are not here and have to be read from the store.
    std::vector<LogPartRecord> records; ///< In order.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(format, sender, log, from, to, whole, records);
    }
};

} // namespace zinniadoor::gateway
