#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "byte_queue.hpp"

namespace zinniadoor::adapters::detail {

/// One message on a connection between peers: a call, or the answer of the same id.
struct PeerFrame
{
    std::uint64_t callId = 0;
    std::string payload;
};

/// Bytes of a frame: length (4 bytes) of what follows, call id (8 bytes), payload; big endian.
std::string encodeFrame(std::uint64_t callId, std::string_view payload);

/// Cuts received bytes into frames.
class PeerFrameReader
{
public:
    void append(std::string_view bytes) { buffer_.append(bytes); }

    /// Next whole frame, if any. Nothing comes after malformed bytes.
    std::optional<PeerFrame> next();

    /// A length was out of bounds; the connection can't be used any more.
    bool malformed() const { return malformed_; }

    /// Part of a frame is waiting for its rest.
    bool hasPartialFrame() const { return !buffer_.empty(); }

private:
    ByteQueue buffer_;
    bool malformed_ = false;
};

} // namespace zinniadoor::adapters::detail
