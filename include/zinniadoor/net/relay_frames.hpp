#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace zinniadoor::net {

/// Header field in which an instance asks a relay for frames, and the relay agrees to send them.
inline constexpr char RelayFramesField[] = "Relay-Frames";
inline constexpr char RelayFramesValue[] = "1";

/// Frames carry what a relay has received from the destination: two bytes of length (big-endian),
/// then the bytes. An empty frame is the orderly end of the destination's connection, which may
/// complete an answer; the end of the relay's own connection may not.
using RelayFrameHead = std::array<std::uint8_t, 2>;

/// Longest content of one frame.
inline constexpr std::size_t MaxRelayFrameBytes = 0xffff;

RelayFrameHead relayFrameHead(std::size_t size);

/// Takes frames apart, however they were cut on their way.
class RelayFrameReader
{
public:
    /// Removes the heads of frames, in place. Returns the number of bytes that remain.
    std::size_t extract(char *bytes, std::size_t size);

    /// Whether the empty frame has been received. What follows it is ignored.
    bool hasEnded() const { return hasEnded_; }

private:
    RelayFrameHead head_ {};
    std::size_t headBytes_ = 0; ///< Received of the head of the current frame.
    std::size_t left_ = 0; ///< Of the content of the current frame.
    bool hasEnded_ = false;
};

} // namespace zinniadoor::net
