#pragma once

#include <algorithm>
#include <cstddef>
#include <memory>
#include <utility>
#include <vector>

namespace zinniadoor::gateway {

/// An exchange that can be ended before its endpoint has answered.
class EndableExchange
{
public:
    virtual ~EndableExchange() = default;

    /// Tells the caller at once that there will be no answer, and whether the request may have
    /// run.
    virtual void endForStop() = 0;
};

/// The exchanges in progress. For the event thread only.
class ExchangeRegistry
{
public:
    void add(std::weak_ptr<EndableExchange> exchange)
    {
        if (exchanges_.size() >= pruneAt_)
            prune();
        exchanges_.push_back(std::move(exchange));
    }

    void endAll()
    {
        for (const auto &entry : std::exchange(exchanges_, {})) {
            if (const auto exchange = entry.lock())
                exchange->endForStop();
        }
    }

private:
    static constexpr std::size_t MinPruneSize = 64;

    void prune()
    {
        std::vector<std::weak_ptr<EndableExchange>> alive;
        for (auto &exchange : exchanges_) {
            if (!exchange.expired())
                alive.push_back(std::move(exchange));
        }
        exchanges_ = std::move(alive);
        pruneAt_ = std::max(MinPruneSize, 2 * exchanges_.size());
    }

    std::vector<std::weak_ptr<EndableExchange>> exchanges_;
    std::size_t pruneAt_ = MinPruneSize;
};

} // namespace zinniadoor::gateway
