#include "zinniadoor/serving/prefix_view.hpp"

#include <algorithm>
#include <cmath>

namespace zinniadoor::serving {

namespace {

constexpr double ConfidencePerGap = 0.5;

} // namespace

PrefixView::PrefixView(std::size_t capacity)
    : capacity_(std::max<std::size_t>(capacity, 1))
{ }

void PrefixView::apply(const std::vector<CacheEvent> &events)
{
    for (const CacheEvent &event : events) {
        if (event.sequence <= lastSequence_)
            continue;
        if (event.sequence != lastSequence_ + 1 && !entries_.empty())
            ++gaps_;
        lastSequence_ = event.sequence;
        if (event.kind == CacheEventKind::Stored)
            store(event.prefix);
        else
            evict(event.prefix);
    }
}

void PrefixView::store(PrefixDigest prefix)
{
    evict(prefix);
    if (entries_.size() >= capacity_)
        evict(order_.front());
    entries_[prefix] = Entry { gaps_, order_.insert(order_.end(), prefix) };
}

void PrefixView::evict(PrefixDigest prefix)
{
    const auto found = entries_.find(prefix);
    if (found == entries_.end())
        return;
    order_.erase(found->second.place);
    entries_.erase(found);
}

void PrefixView::clear()
{
    entries_.clear();
    order_.clear();
    lastSequence_ = 0;
    gaps_ = 0;
}

double PrefixView::expectedTokens(const std::vector<PrefixDigest> &prefixes) const
{
    double tokens = 0;
    double confidence = 1;
    for (const PrefixDigest prefix : prefixes) {
        const auto found = entries_.find(prefix);
        // A cached block is usable only if all blocks before it are cached.
        if (found == entries_.end())
            break;
        const auto gaps = static_cast<double>(gaps_ - found->second.gapsBefore);
        confidence = std::min(confidence, std::pow(ConfidencePerGap, gaps));
        tokens += confidence * PrefixBlockTokens;
    }
    return tokens;
}

} // namespace zinniadoor::serving
