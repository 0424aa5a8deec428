#pragma once

#include <map>
#include <vector>

#include "absl/time/time.h"

#include "zinniadoor/base/ids.hpp"
#include "zinniadoor/control/instance_table.hpp"

namespace zinniadoor::control {

/// When this reader first saw the last frame of each process, by its own monotonic clock.
class FrameAgeTracker
{
public:
    /// Call after applying what a read gave, with the instant at which it came.
    void observe(const InstanceTable &instances, absl::Time readAt);

    /// Time since the process's last frame was read; infinite for a process not in the table.
    absl::Duration timeSinceLastFrame(const Process &process, absl::Time now) const;

    /// Running processes with a frame read within `window`.
    std::vector<Process> liveProcesses(const InstanceTable &instances, absl::Duration window,
                                       absl::Time now) const;

private:
    struct Seen
    {
        base::Offset lastFrame = 0;
        absl::Time readAt;
    };

    std::map<Process, Seen> seen_;
};

} // namespace zinniadoor::control
