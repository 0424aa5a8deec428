#pragma once

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include "zinniadoor/serving/answer_estimate.hpp"

namespace zinniadoor::serving {

struct AdmissionTrialOptions
{
    absl::Duration firstDelay = absl::Milliseconds(500); ///< Since the last answer or trial.
    absl::Duration maxDelay = absl::Seconds(8); ///< Doubles up to this with each trial in vain.

    /// Multiple of the delay for requests that may run once: their callers cannot repeat a trial
    /// that comes too late.
    int runOnceFactor = 2;

    absl::Duration retention = absl::Minutes(10); ///< Of what is known of a class.
};

/// Sends single requests that an estimate rejects, for estimates that only answers correct: one
/// that rejects everything gets none, and would reject for good. Not thread-safe.
class AdmissionTrials
{
public:
    explicit AdmissionTrials(const AdmissionTrialOptions &options = {});

    /// A request that the estimate admits was answered, or a trial was answered in time.
    void noteAnswer(const AnswerClass &requests, absl::Time now);

    /// The estimate rejects a request. Zero if it is to be sent as a trial; otherwise the time
    /// until the next trial.
    absl::Duration takeTrial(const AnswerClass &requests, bool mayRepeat, absl::Time now);

private:
    struct State
    {
        absl::Time since; ///< Last answer or trial.
        absl::Duration delay;
    };

    AdmissionTrialOptions options_;
    absl::flat_hash_map<AnswerClass, State> states_;
};

} // namespace zinniadoor::serving
