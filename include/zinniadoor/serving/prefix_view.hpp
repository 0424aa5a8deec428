#pragma once

#include <cstdint>
#include <list>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"

#include "zinniadoor/serving/request_facts.hpp"

namespace zinniadoor::serving {

enum class CacheEventKind : std::uint8_t { Stored, Evicted };

/// One event of an engine's prefix cache.
struct CacheEvent
{
    std::uint64_t sequence = 0; ///< From 1, without gaps at the engine.
    CacheEventKind kind = CacheEventKind::Stored;
    PrefixDigest prefix = 0;
};

/// What one engine's prefix cache seems to hold, from events that come late and with gaps.
class PrefixView
{
public:
    /// `capacity`: prefixes remembered at most; the oldest are forgotten first.
    explicit PrefixView(std::size_t capacity = 4096);

    /// Takes events in order of sequence. Older ones than seen are ignored; a gap halves the
    /// trust in all that was known, since evictions may be among the lost events.
    void apply(const std::vector<CacheEvent> &events);

    /// The engine began afresh, with an empty cache.
    void clear();

    /// Tokens at the head of a prompt that are expected to be cached, weighed by trust.
    double expectedTokens(const std::vector<PrefixDigest> &prefixes) const;

    std::uint64_t lastSequence() const { return lastSequence_; }
    std::size_t size() const { return entries_.size(); }

private:
    struct Entry
    {
        std::uint64_t gapsBefore = 0;
        std::list<PrefixDigest>::iterator place;
    };
    void store(PrefixDigest prefix);
    void evict(PrefixDigest prefix);

    std::size_t capacity_;
    absl::flat_hash_map<PrefixDigest, Entry> entries_;
    std::list<PrefixDigest> order_; ///< Oldest first.
    std::uint64_t lastSequence_ = 0;
    std::uint64_t gaps_ = 0;
};

} // namespace zinniadoor::serving
