#pragma once

#include <cstddef>
#include <sstream>
#include <string>

#include <cereal/archives/portable_binary.hpp>

#include "zinniadoor/base/outcome.hpp"

namespace zinniadoor::base {

/// Binary form of a message whose type has a cereal `serialize` function.
template <typename Message>
std::string encode(const Message &message)
{
    std::ostringstream out;
    {
        cereal::PortableBinaryOutputArchive archive(out);
        archive(message);
    }
    return std::move(out).str();
}

/// Reads a message back. Bytes from outside may be anything: short, long or malformed input
/// gives a reason, never a crash.
template <typename Message>
Outcome<Message> decode(const std::string &bytes)
{
    std::istringstream in(bytes);
    try {
        cereal::PortableBinaryInputArchive archive(in);
        Message message;
        archive(message);
        if (in.peek() != std::istringstream::traits_type::eof())
            return Reason { ReasonCode::InvalidArgument, "trailing bytes after the message" };
        return message;
    } catch (const std::exception &error) {
        return Reason { ReasonCode::InvalidArgument, error.what() };
    }
}

} // namespace zinniadoor::base
