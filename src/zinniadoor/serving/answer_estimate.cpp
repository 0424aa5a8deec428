#include "zinniadoor/serving/answer_estimate.hpp"

#include <algorithm>
#include <cmath>

namespace zinniadoor::serving {

AnswerEstimate::AnswerEstimate(const AnswerEstimateOptions &options)
    : options_(options)
{ }

void AnswerEstimate::note(const AnswerClass &requests, absl::Duration time, absl::Time now)
{
    Mean &mean = find(requests, now);
    double before = 0;
    if (mean.weight > 0) {
        const absl::Duration age = std::max(absl::ZeroDuration(), now - mean.updatedAt);
        before = std::min(options_.maxWeight,
                          mean.weight * std::exp(-absl::FDivDuration(age, options_.decay)));
    }
    mean.weight = before + 1;
    mean.time += (time - mean.time) / mean.weight;
    mean.updatedAt = now;
}

void AnswerEstimate::replace(const AnswerClass &requests, absl::Duration time, absl::Time now)
{
    find(requests, now) = { time, 1, now };
}

absl::Duration AnswerEstimate::mean(const AnswerClass &requests) const
{
    const auto found = means_.find(requests);
    return found == means_.end() ? absl::ZeroDuration() : found->second.time;
}

AnswerEstimate::Mean &AnswerEstimate::find(const AnswerClass &requests, absl::Time now)
{
    const auto found = means_.find(requests);
    if (found != means_.end())
        return found->second;
    // Routes and services come and go with the versions of the configuration.
    absl::erase_if(means_, [&](const auto &entry) {
        return now - entry.second.updatedAt > options_.retention;
    });
    return means_[requests];
}

} // namespace zinniadoor::serving
