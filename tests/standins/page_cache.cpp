#include "page_cache.hpp"

#include <nlohmann/json.hpp>

#include "call_log.hpp"

namespace zinniadoor::standins {
namespace {

constexpr std::size_t MaxEvents = 10000;

} // namespace

bool PageCache::hold(std::int64_t pages)
{
    const std::lock_guard lock(mutex_);
    // A stream that alone needs more than there is runs alone, or it would wait for ever.
    if (held_ > 0 && held_ + pages > options_.pages)
        return false;
    held_ += pages;
    evictToFit();
    return true;
}

void PageCache::release(std::int64_t pages)
{
    const std::lock_guard lock(mutex_);
    held_ -= pages;
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
            recent_.splice(recent_.begin(), recent_, found->second);
            continue;
        }
        recent_.push_front(name);
        cached_[name] = recent_.begin();
        addEvent(true, name);
    }
    evictToFit();
    return hits;
}

std::int64_t PageCache::freePages() const
{
    const std::lock_guard lock(mutex_);
    return held_ > options_.pages ? 0 : options_.pages - held_;
}

nlohmann::json PageCache::eventsAfter(std::uint64_t sequence) const
{
    const std::lock_guard lock(mutex_);
    const std::int64_t shownUpTo = unixMs() - options_.eventLagMs;
    nlohmann::json events = nlohmann::json::array();
    std::uint64_t last = 0;
    for (const Event &event : events_) {
        if (event.atMs > shownUpTo)
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
    while (!recent_.empty() && held_ + static_cast<std::int64_t>(recent_.size()) > options_.pages) {
        addEvent(false, recent_.back());
        cached_.erase(recent_.back());
        recent_.pop_back();
    }
}

} // namespace zinniadoor::standins
