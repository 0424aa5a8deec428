#include "zinniadoor/daemon/core_messages.hpp"

#include <utility>

#include "absl/time/clock.h"

namespace zinniadoor::daemon {

namespace {

constexpr absl::Duration FullRingRetryDelay = absl::Milliseconds(1);

} // namespace

void pushBlocking(CoreRing &core, CoreMessage message, const std::function<bool()> &giveUp)
{
    // A failed tryPush leaves the message intact, so it can be pushed again.
    while (!core.tryPush(std::move(message)) && !giveUp()) // NOLINT(bugprone-use-after-move)
        absl::SleepFor(FullRingRetryDelay);
}

} // namespace zinniadoor::daemon
