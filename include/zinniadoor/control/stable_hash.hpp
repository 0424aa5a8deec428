#pragma once

#include <cstdint>
#include <string>

namespace zinniadoor::control {

/// 64-bit hash that is the same in every process, for rendezvous hashing and compact ids.
inline std::uint64_t stableHash(const std::string &text, std::uint64_t seed = 0)
{
    constexpr std::uint64_t FnvOffset = 14695981039346656037ULL;
    constexpr std::uint64_t FnvPrime = 1099511628211ULL;
    std::uint64_t hash = FnvOffset ^ seed;
    for (const char c : text) {
        hash ^= static_cast<unsigned char>(c);
        hash *= FnvPrime;
    }
    // MurmurHash3 finaliser: FNV alone mixes the last bytes poorly.
    hash ^= hash >> 33;
    hash *= 0xff51afd7ed558ccdULL;
    hash ^= hash >> 33;
    hash *= 0xc4ceb9fe1a85ec53ULL;
    hash ^= hash >> 33;
    return hash;
}

/// Rendezvous weight of `candidate` for `item`; the highest weight wins.
inline std::uint64_t rendezvousWeight(const std::string &item, const std::string &candidate)
{
    return stableHash(candidate, stableHash(item));
}

/// 32-bit hash that stands for an id in heartbeats.
inline std::uint32_t shortHash(const std::string &text)
{
    return static_cast<std::uint32_t>(stableHash(text));
}

} // namespace zinniadoor::control
