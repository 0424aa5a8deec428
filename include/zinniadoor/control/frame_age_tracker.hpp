#pragma once

#include <map>
#include <vector>

#include "absl/time/time.h"

#include "zinniadoor/base/ids.hpp"
#include "zinniadoor/control/instance_table.hpp"

namespace zinniadoor::control {

/// Tracks how long ago this reader received the last frame of each process, by the reader's
/// monotonic clock.
class FrameAgeTracker
{
public:
    /// Call after applying the entries of a read; `readAt` is the time at which they arrived.
    void observe(const InstanceTable &instances, absl::Time readAt);

    /// Time since the process's last frame was received; infinite for an untracked process.
    absl::Duration timeSinceLastFrame(const Process &process, absl::Time now) const;

    /// Running processes whose last frame was received within `window`.
    std::vector<Process> liveProcesses(const InstanceTable &instances, absl::Duration window,
                                       absl::Time now) const;

private:
    struct LastFrame
    {
        base::Offset offset = 0;
        absl::Time readAt;
    };

    std::map<Process, LastFrame> lastFrames_;
};

} // namespace zinniadoor::control
