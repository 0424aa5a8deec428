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

/// An engine's KV memory: pages held by streams, and cached prompt pages in what is left.
/// Any thread may call.
class PageCache
{
public:
    struct Options
    {
        std::int64_t pages = 0;
        std::int64_t eventLagMs = 0; ///< Events show this late.
        std::int64_t eventGapEvery = 0; ///< Every n-th event is lost; 0: none.
    };

    explicit PageCache(const Options &options)
        : options_(options)
    { }

    /// Takes pages for a stream; false when they are not free of other streams.
    bool hold(std::int64_t pages);
    void release(std::int64_t pages);

    /// Number of leading pages that are cached; stores all of them.
    std::int64_t lookUpAndStore(const std::vector<std::string> &names);
    std::int64_t freePages() const;

    /// `{"events", "last"}` of the events after a sequence number.
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
    std::int64_t held_ = 0;
    std::list<std::string> recent_; ///< Cached pages, last used first.
    std::unordered_map<std::string, std::list<std::string>::iterator> cached_;
    std::deque<Event> events_;
    std::uint64_t lastSequence_ = 0;
};

} // namespace zinniadoor::standins
