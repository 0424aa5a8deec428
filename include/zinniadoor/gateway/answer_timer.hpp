#pragma once

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "absl/time/time.h"

#include "zinniadoor/base/clock.hpp"

namespace zinniadoor::gateway {

/// Limits a wait for answers. If the process stood still until the time was over, the answers may
/// lie unread in its sockets, and the wait is extended until they have been read. For the event
/// thread only.
class AnswerTimer
{
public:
    /// Calls `timedOut` unless `cancel` is called, or the timer destroyed, before the limit.
    AnswerTimer(boost::asio::io_context &io, const base::Clock &clock, absl::Duration limit,
                std::function<void()> timedOut);
    ~AnswerTimer() { cancel(); }
    AnswerTimer(const AnswerTimer &) = delete;
    AnswerTimer &operator=(const AnswerTimer &) = delete;

    void cancel();

private:
    struct State
    {
        boost::asio::steady_timer timer;
        const base::Clock &clock;
        std::function<void()> timedOut; ///< Empty once it was called or is no longer wanted.
        absl::Time due {};
    };
    static void wait(const std::shared_ptr<State> &state, absl::Duration time);

    std::shared_ptr<State> state_;
};

} // namespace zinniadoor::gateway
