#pragma once

#include <string>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

namespace zinniadoor::serving {

/// Requests whose answers take about the same time: a service and one of its routes.
using AnswerClass = std::pair<std::string, std::string>;

struct AnswerEstimateOptions
{
    absl::Duration decay = absl::Seconds(10); ///< Decay time of a sample's weight.

    /// Limit of the weight of all earlier samples, relative to the next one.
    double maxWeight = 19;

    absl::Duration retention = absl::Minutes(10); ///< Of an estimate without samples.
};

/// Mean answer times of plain services, for loads whose answers take between milliseconds and the
/// time that callers wait, and whose endpoints slow down and recover. Not thread-safe.
class AnswerEstimate
{
public:
    explicit AnswerEstimate(const AnswerEstimateOptions &options = {});

    /// A request was answered in `time`.
    void note(const AnswerClass &requests, absl::Duration time, absl::Time now);

    /// Drops all earlier samples for this one, which they rule out.
    void replace(const AnswerClass &requests, absl::Duration time, absl::Time now);

    /// Mean answer time; zero without samples.
    absl::Duration mean(const AnswerClass &requests) const;

private:
    struct Mean
    {
        absl::Duration time;
        double weight = 0; ///< Of all samples, as of `updatedAt`.
        absl::Time updatedAt = absl::InfinitePast();
    };
    Mean &find(const AnswerClass &requests, absl::Time now);

    AnswerEstimateOptions options_;
    absl::flat_hash_map<AnswerClass, Mean> means_;
};

} // namespace zinniadoor::serving
