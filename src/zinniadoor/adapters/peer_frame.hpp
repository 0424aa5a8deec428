#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "byte_queue.hpp"

namespace zinniadoor::adapters::detail {

/// One message between peers: a call, or the reply with the same id.
struct PeerFrame
{
    std::uint64_t callId = 0;
    std::string payload;
};

/// Wire format, big-endian: length of the remainder (4 bytes), call id (8 bytes), payload.
std::string encodeFrame(std::uint64_t callId, std::string_view payload);

/// Splits a received byte stream into frames.
class PeerFrameReader
{
public:
    void append(std::string_view bytes) { buffer_.append(bytes); }

    /// Next complete frame, if any; none after malformed input.
    std::optional<PeerFrame> next();

    /// A frame length was out of bounds; the stream is unusable.
    bool malformed() const { return malformed_; }

    /// An incomplete frame is buffered.
    bool hasPartialFrame() const { return !buffer_.empty(); }

private:
    ByteQueue buffer_;
    bool malformed_ = false;
};

} // namespace zinniadoor::adapters::detail
