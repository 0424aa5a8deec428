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
    std::uint64_t sequence = 0; ///< Starts at 1; consecutive at the engine.
    CacheEventKind kind = CacheEventKind::Stored;
    PrefixDigest prefix = 0;
};

/// Estimated contents of an engine's prefix cache, built from delayed events that may have gaps.
class PrefixView
{
public:
    /// `capacity` limits the tracked prefixes; the oldest are dropped first.
    explicit PrefixView(std::size_t capacity = 4096);

    /// Applies events in order of sequence and ignores those already applied. A gap halves the
    /// confidence in all entries, since evictions may be among the lost events.
    void apply(const std::vector<CacheEvent> &events);

    /// Resets the view after a restart of the engine.
    void clear();

    /// Expected number of cached leading tokens of a prompt, weighted by confidence.
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
