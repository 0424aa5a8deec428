#include "zinniadoor/gateway/catch_up.hpp"

#include <memory>
#include <utility>

#include "zinniadoor/gateway/answer_timer.hpp"

namespace zinniadoor::gateway {

namespace {

struct Wait
{
    CatchUpCallback done; ///< Empty once it was called.
    std::unique_ptr<AnswerTimer> timer;

    void end(bool isCurrent)
    {
        timer->cancel();
        if (const auto callback = std::exchange(done, nullptr))
            callback(isCurrent);
    }
};

} // namespace

void catchUpWithin(absl::Duration limit, boost::asio::io_context &io, const base::Clock &clock,
                   LogFollower &follower, const CatchUpCallback &done)
{
    const auto wait = std::make_shared<Wait>();
    wait->done = done;
    const std::weak_ptr<Wait> weak = wait; // Owned by the follower until the read has ended.
    wait->timer = std::make_unique<AnswerTimer>(io, clock, limit, [weak] {
        if (const auto self = weak.lock())
            self->end(false);
    });
    follower.catchUp([wait](bool isCurrent) { wait->end(isCurrent); });
}

} // namespace zinniadoor::gateway
