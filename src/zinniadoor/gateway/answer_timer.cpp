#include "zinniadoor/gateway/answer_timer.hpp"

#include <utility>

namespace zinniadoor::gateway {

namespace {

/// A timer that expires later than this shows that the process stood still.
constexpr absl::Duration MaxLateness = absl::Milliseconds(50);

/// Time to read what has arrived meanwhile.
constexpr absl::Duration Extension = absl::Milliseconds(50);

} // namespace

AnswerTimer::AnswerTimer(boost::asio::io_context &io, const base::Clock &clock,
                         absl::Duration limit, std::function<void()> timedOut)
    : state_(std::make_shared<State>(
        State { boost::asio::steady_timer(io), clock, std::move(timedOut) }))
{
    wait(state_, limit);
}

void AnswerTimer::cancel()
{
    state_->timedOut = nullptr;
    state_->timer.cancel();
}

void AnswerTimer::wait(const std::shared_ptr<State> &state, absl::Duration time)
{
    state->due = state->clock.now() + time;
    state->timer.expires_after(absl::ToChronoMilliseconds(time));
    state->timer.async_wait([state](boost::system::error_code error) {
        if (error || !state->timedOut)
            return;
        if (state->clock.now() - state->due > MaxLateness) {
            wait(state, Extension);
            return;
        }
        const auto timedOut = std::exchange(state->timedOut, nullptr);
        timedOut();
    });
}

} // namespace zinniadoor::gateway
