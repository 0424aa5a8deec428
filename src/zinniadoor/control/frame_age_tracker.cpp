#include "zinniadoor/control/frame_age_tracker.hpp"

namespace zinniadoor::control {

void FrameAgeTracker::observe(const InstanceTable &instances, absl::Time readAt)
{
    for (auto row = lastFrames_.begin(); row != lastFrames_.end();) {
        if (instances.find(row->first) == nullptr)
            row = lastFrames_.erase(row);
        else
            ++row;
    }
    for (const auto &[process, info] : instances.processes()) {
        const auto [row, isNew]
            = lastFrames_.emplace(process, LastFrame { info.lastFrame, readAt });
        if (!isNew && row->second.offset != info.lastFrame)
            row->second = { info.lastFrame, readAt };
    }
}

absl::Duration FrameAgeTracker::timeSinceLastFrame(const Process &process, absl::Time now) const
{
    const auto found = lastFrames_.find(process);
    return found == lastFrames_.end() ? absl::InfiniteDuration() : now - found->second.readAt;
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
