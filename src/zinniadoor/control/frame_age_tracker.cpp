#include "zinniadoor/control/frame_age_tracker.hpp"

namespace zinniadoor::control {

void FrameAgeTracker::observe(const InstanceTable &instances, absl::Time readAt)
{
    for (auto row = seen_.begin(); row != seen_.end();) {
        if (instances.find(row->first) == nullptr)
            row = seen_.erase(row);
        else
            ++row;
    }
    for (const auto &[process, info] : instances.processes()) {
        const auto [row, isNew] = seen_.emplace(process, Seen { info.lastFrame, readAt });
        if (!isNew && row->second.lastFrame != info.lastFrame)
            row->second = { info.lastFrame, readAt };
    }
}

absl::Duration FrameAgeTracker::timeSinceLastFrame(const Process &process, absl::Time now) const
{
    const auto found = seen_.find(process);
    return found == seen_.end() ? absl::InfiniteDuration() : now - found->second.readAt;
}

std::vector<Process> FrameAgeTracker::liveProcesses(const InstanceTable &instances,
                                                    absl::Duration window, absl::Time now) const
{
    std::vector<Process> result;
    for (Process &process : instances.running()) {
        if (timeSinceLastFrame(process, now) <= window)
            result.push_back(std::move(process));
    }
    return result;
}

} // namespace zinniadoor::control
