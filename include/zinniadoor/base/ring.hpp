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

/// A bounded queue from any number of threads to one consumer.
/// Pushing never blocks: a full ring refuses at once.
template <typename T>
class Ring
{
public:
    /// `capacity`: items held at most (1 to 65,534).
    explicit Ring(std::size_t capacity)
        : queue_(capacity)
    { }
    ~Ring()
    {
        queue_.consume_all([](T *item) { delete item; });
    }
    Ring(const Ring &) = delete;
    Ring &operator=(const Ring &) = delete;

    /// Takes the item, or leaves it untouched and returns false when the ring is full.
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

    /// Waits up to `timeout` for an item. For the single consumer only.
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

    /// Ends a waiting `pop` early.
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
