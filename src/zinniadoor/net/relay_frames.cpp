#include "zinniadoor/net/relay_frames.hpp"

#include <algorithm>
#include <cstring>

namespace zinniadoor::net {

RelayFrameHead relayFrameHead(std::size_t size)
{
    return { static_cast<std::uint8_t>(size >> 8U), static_cast<std::uint8_t>(size & 0xffU) };
}

std::size_t RelayFrameReader::extract(char *bytes, std::size_t size)
{
    std::size_t kept = 0;
    std::size_t at = 0;
    while (at < size && !hasEnded_) {
        if (left_ > 0) {
            const std::size_t part = std::min(left_, size - at);
            std::memmove(bytes + kept, bytes + at, part);
            kept += part;
            at += part;
            left_ -= part;
            continue;
        }
        head_[headBytes_++] = static_cast<std::uint8_t>(bytes[at++]);
        if (headBytes_ < head_.size())
            continue;
        headBytes_ = 0;
        left_ = std::size_t { head_[0] } << 8U | head_[1];
        hasEnded_ = left_ == 0;
    }
    return kept;
}

} // namespace zinniadoor::net
