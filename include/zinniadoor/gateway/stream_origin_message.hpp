#pragma once

#include <cstdint>
#include <string>

#include <cereal/types/string.hpp>

#include "zinniadoor/gateway/process_name.hpp"

namespace zinniadoor::gateway {

/// Which software version began a stream.
struct StreamOriginMessage
{
    static constexpr std::uint8_t CurrentFormat
        = 18; ///< Distinct from that of every other message.

    enum class Kind : std::uint8_t {
        Notice, ///< The stream has begun at `version`.
        Question, ///< Which version began it?
        Answer,
    };

    std::uint8_t format = CurrentFormat;
    ProcessName sender;
    Kind kind = Kind::Notice;
    std::uint64_t stream = 0; ///< Digest of its id.
    bool isKnown = false; ///< Of an answer: the sender has noted that `version` began the stream.
    std::string version;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(format, sender, kind, stream, isKnown, version);
    }
};

} // namespace zinniadoor::gateway
