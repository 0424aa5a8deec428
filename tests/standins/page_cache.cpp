#include "page_cache.hpp"

#include <nlohmann/json.hpp>

#include "call_log.hpp"

namespace zinniadoor::standins {
namespace {

constexpr std::size_t MaxEvents = 10000;

} // namespace

bool PageCache::reserve(std::int64_t pages)
{
    const std::lock_guard lock(mutex_);
    // A stream that exceeds the total capacity is admitted alone; it would wait forever otherwise.
    if (reservedPages_ > 0 && reservedPages_ + pages > options_.pages)
        return false;
    reservedPages_ += pages;
    evictToFit();
    return true;
}

void PageCache::release(std::int64_t pages)
{
    const std::lock_guard lock(mutex_);
    reservedPages_ -= pages;
}

std::int64_t PageCache::lookUpAndStore(const std::vector<std::string> &names)
{
    const std::lock_guard lock(mutex_);
    std::int64_t hits = 0;
    bool hit = true;
    for (const std::string &name : names) {
        const auto found = cached_.find(name);
        hit = hit && found != cached_.end();
        hits += hit ? 1 : 0;
        if (found != cached_.end()) {
            lru_.splice(lru_.begin(), lru_, found->second);
            continue;
        }
        lru_.push_front(name);
        cached_[name] = lru_.begin();
        addEvent(true, name);
    }
    evictToFit();
    return hits;
}

std::int64_t PageCache::freePages() const
{
    const std::lock_guard lock(mutex_);
    return reservedPages_ > options_.pages ? 0 : options_.pages - reservedPages_;
}

nlohmann::json PageCache::eventsAfter(std::uint64_t sequence) const
{
    const std::lock_guard lock(mutex_);
    const std::int64_t visibleUntilMs = unixMs() - options_.eventLagMs;
    nlohmann::json events = nlohmann::json::array();
    std::uint64_t last = 0;
    for (const Event &event : events_) {
        if (event.atMs > visibleUntilMs)
            break;
        last = event.sequence;
        if (event.sequence <= sequence)
            continue;
        events.push_back({ { "sequence", event.sequence },
                           { "kind", event.stored ? "stored" : "evicted" },
                           { "prefix", event.prefix } });
    }
    return { { "events", events }, { "last", last } };
}

void PageCache::addEvent(bool stored, const std::string &prefix)
{
    ++lastSequence_;
    if (options_.eventGapEvery > 0
        && lastSequence_ % static_cast<std::uint64_t>(options_.eventGapEvery) == 0)
        return;
    events_.push_back({ lastSequence_, stored, prefix, unixMs() });
    if (events_.size() > MaxEvents)
        events_.pop_front();
}

void PageCache::evictToFit()
{
    while (!lru_.empty()
           && reservedPages_ + static_cast<std::int64_t>(lru_.size()) > options_.pages) {
        addEvent(false, lru_.back());
        cached_.erase(lru_.back());
        lru_.pop_back();
    }
}

} // namespace zinniadoor::standins
