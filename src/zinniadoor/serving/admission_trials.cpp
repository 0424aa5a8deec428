#include "zinniadoor/serving/admission_trials.hpp"

#include <algorithm>

namespace zinniadoor::serving {

AdmissionTrials::AdmissionTrials(const AdmissionTrialOptions &options)
    : options_(options)
{ }

void AdmissionTrials::noteAnswer(const AnswerClass &requests, absl::Time now)
{
    const auto found = states_.find(requests);
    if (found != states_.end())
        found->second = { now, options_.firstDelay };
}

absl::Duration AdmissionTrials::takeTrial(const AnswerClass &requests, bool mayRepeat,
                                          absl::Time now)
{
    auto found = states_.find(requests);
    if (found == states_.end()) {
        absl::erase_if(states_, [&](const auto &entry) {
            return now - entry.second.since > options_.retention;
        });
        found = states_.emplace(requests, State { now, options_.firstDelay }).first;
    }
    State &state = found->second;
    const absl::Time due = state.since + state.delay * (mayRepeat ? 1 : options_.runOnceFactor);
    if (now < due)
        return due - now;
    state = { now, std::min(state.delay * 2, options_.maxDelay) };
    return absl::ZeroDuration();
}

} // namespace zinniadoor::serving
