#pragma once

#include <atomic>
#include <cstddef>
#include <memory>
#include <optional>
#include <utility>

#include <boost/lockfree/queue.hpp>

#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace zinniadoor::base {

/// Bounded lock-free queue with multiple producers and a single consumer. Producers never block:
/// pushing to a full queue fails.
template <typename T>
class Ring
{
public:
    /// `capacity`: maximum number of items, 1 to 65,534 (limit of boost::lockfree::fixed_sized).
    explicit Ring(std::size_t capacity)
        : queue_(capacity)
    { }
    ~Ring()
    {
        queue_.consume_all([](T *item) { delete item; });
    }
    Ring(const Ring &) = delete;
    Ring &operator=(const Ring &) = delete;

    /// Moves from `item` and returns true, or returns false and leaves it unchanged if the queue is
    /// full.
    bool tryPush(T &&item)
    {
        auto owned = std::make_unique<T>(std::move(item));
        if (!queue_.bounded_push(owned.get())) {
            item = std::move(*owned);
            return false;
        }
        static_cast<void>(owned.release());
        wake();
        return true;
    }

    std::optional<T> tryPop()
    {
        T *raw = nullptr;
        if (!queue_.pop(raw))
            return std::nullopt;
        const std::unique_ptr<T> owned(raw);
        return std::move(*owned);
    }

    /// Waits up to `timeout` for an item. Called by the consumer only.
    std::optional<T> pop(absl::Duration timeout)
    {
        if (auto item = tryPop())
            return item;
        {
            absl::MutexLock lock(&mutex_);
            waiting_.store(true, std::memory_order_seq_cst);
            if (queue_.empty() && !woken_)
                condition_.WaitWithTimeout(&mutex_, timeout);
            waiting_.store(false, std::memory_order_seq_cst);
            woken_ = false;
        }
        return tryPop();
    }

    /// Wakes the consumer from a waiting `pop` before its timeout.
    void wake()
    {
        if (!waiting_.load(std::memory_order_seq_cst))
            return;
        absl::MutexLock lock(&mutex_);
        woken_ = true;
        condition_.Signal();
    }

private:
    boost::lockfree::queue<T *, boost::lockfree::fixed_sized<true>> queue_;
    absl::Mutex mutex_;
    absl::CondVar condition_;
    std::atomic<bool> waiting_ { false };
    bool woken_ = false;
};

} // namespace zinniadoor::base
