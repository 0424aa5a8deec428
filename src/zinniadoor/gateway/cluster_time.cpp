#include "zinniadoor/gateway/cluster_time.hpp"

#include <algorithm>

namespace zinniadoor::gateway {

ClusterTime::ClusterTime(absl::Time now, absl::Time wall)
    : start_(wall - now)
{ }

void ClusterTime::setPeerOffsets(const std::vector<absl::Duration> &offsets)
{
    std::vector<absl::Duration> all = offsets;
    all.push_back(absl::ZeroDuration());
    std::sort(all.begin(), all.end());
    correction_ = all[(all.size() - 1) / 2];
}

absl::Time ClusterTime::ownEstimate(absl::Time now) const
{
    return now + start_;
}

absl::Time ClusterTime::at(absl::Time now) const
{
    return now + start_ + correction_;
}

} // namespace zinniadoor::gateway
