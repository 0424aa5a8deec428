#include "zinniadoor/serving/trial_turns.hpp"

#include <algorithm>

namespace zinniadoor::serving {

TrialTurns::TrialTurns(const TrialTurnsOptions &options)
    : options_(options)
{ }

void TrialTurns::setInstances(const std::string &self, std::vector<std::string> instances)
{
    std::sort(instances.begin(), instances.end());
    instances.erase(std::unique(instances.begin(), instances.end()), instances.end());
    const auto place = std::lower_bound(instances.begin(), instances.end(), self);
    rank_ = static_cast<std::size_t>(place - instances.begin());
    instances_ = std::max<std::size_t>(instances.size(), 1);
}

// Turns last longer than a step, as an instance may not get the request during one step.
bool TrialTurns::isOpen(absl::Duration waited) const
{
    const absl::Duration sinceFirst = waited - static_cast<std::int64_t>(rank_) * options_.step;
    if (sinceFirst < absl::ZeroDuration())
        return false;
    const absl::Duration round
        = std::max(static_cast<std::int64_t>(instances_) * options_.step, options_.length);
    absl::Duration sinceStart;
    absl::IDivDuration(sinceFirst, round, &sinceStart);
    return sinceStart < options_.length;
}

} // namespace zinniadoor::serving
