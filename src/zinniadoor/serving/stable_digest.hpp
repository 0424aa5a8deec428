#pragma once

#include <cstdint>
#include <string_view>

namespace zinniadoor::serving::detail {

// 64-bit FNV-1a. Unlike absl::Hash, it gives the same value in every process.
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

// Finalizer of SplitMix64: each bit of the result depends on all bits of the argument.
constexpr std::uint64_t mixBits(std::uint64_t digest)
{
    digest = (digest ^ (digest >> 30)) * 0xbf58476d1ce4e5b9ULL;
    digest = (digest ^ (digest >> 27)) * 0x94d049bb133111ebULL;
    return digest ^ (digest >> 31);
}

/// FNV-1a digest with a finalizer, so that digests are uniformly distributed and can be ranked.
constexpr std::uint64_t mixedDigest(std::string_view bytes)
{
    return mixBits(extendDigest(EmptyDigest, bytes));
}

} // namespace zinniadoor::serving::detail
