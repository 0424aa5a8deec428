#pragma once

#include <cstdint>
#include <string_view>

namespace zinniadoor::serving::detail {

// FNV-1a, 64 bit: unlike absl::Hash it gives the same value in every process.
constexpr std::uint64_t EmptyDigest = 14695981039346656037ULL;

constexpr std::uint64_t extendDigest(std::uint64_t digest, std::string_view bytes)
{
    constexpr std::uint64_t Prime = 1099511628211ULL;
    for (const char byte : bytes) {
        digest ^= static_cast<unsigned char>(byte);
        digest *= Prime;
    }
    return digest;
}

} // namespace zinniadoor::serving::detail
