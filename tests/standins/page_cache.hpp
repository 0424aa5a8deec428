#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace zinniadoor::standins {

/// An engine's KV cache: pages reserved by streams, and an LRU cache of prompt pages in the
/// remaining ones. Thread-safe.
class PageCache
{
public:
    struct Options
    {
        std::int64_t pages = 0;
        std::int64_t eventLagMs = 0; ///< Delay until an event becomes visible.
        std::int64_t eventGapEvery = 0; ///< Every n-th event is omitted; 0: none.
    };

    explicit PageCache(const Options &options)
        : options_(options)
    { }

    /// Reserves pages for a stream. Returns false if other streams hold too many.
    bool reserve(std::int64_t pages);
    void release(std::int64_t pages);

    /// Returns the number of leading pages that are cached, then caches all of them.
    std::int64_t lookUpAndStore(const std::vector<std::string> &names);
    std::int64_t freePages() const;

    /// `{"events", "last"}` with the visible events after a sequence number.
    nlohmann::json eventsAfter(std::uint64_t sequence) const;

private:
    struct Event
    {
        std::uint64_t sequence = 0;
        bool stored = false;
        std::string prefix;
        std::int64_t atMs = 0;
    };

    void addEvent(bool stored, const std::string &prefix);
    void evictToFit();

    const Options options_;
    mutable std::mutex mutex_;
    std::int64_t reservedPages_ = 0;
    std::list<std::string> lru_; ///< Cached pages, most recently used first.
    std::unordered_map<std::string, std::list<std::string>::iterator> cached_;
    std::deque<Event> events_;
    std::uint64_t lastSequence_ = 0;
};

} // namespace zinniadoor::standins
