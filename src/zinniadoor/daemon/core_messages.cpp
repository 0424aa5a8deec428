#include "zinniadoor/daemon/core_messages.hpp"

#include <utility>

#include "absl/time/clock.h"

namespace zinniadoor::daemon {

namespace {

constexpr absl::Duration FullRingPause = absl::Milliseconds(1);

} // namespace

void pushWaiting(CoreRing &core, CoreMessage message, const std::function<bool()> &giveUp)
{
    // A refused message stays as it is, so it can be pushed again.
    while (!core.tryPush(std::move(message)) && !giveUp()) // NOLINT(bugprone-use-after-move)
        absl::SleepFor(FullRingPause);
}

} // namespace zinniadoor::daemon
