#include "zinniadoor/gateway/usage_window_counter.hpp"

namespace zinniadoor::gateway {

namespace {

/// Time after a window's end by which all requests that started in it have been counted.
constexpr absl::Duration CountsComplete = absl::Milliseconds(600);

} // namespace

UsageWindowCounter::UsageWindowCounter(absl::Duration window)
    : window_(window)
{ }

WindowNumber UsageWindowCounter::windowAt(absl::Time clusterTime) const
{
    return static_cast<WindowNumber>((clusterTime - absl::UnixEpoch()) / window_);
}

absl::Time UsageWindowCounter::endOf(WindowNumber window) const
{
    return absl::UnixEpoch() + static_cast<std::int64_t>(window + 1) * window_;
}

WindowNumber UsageWindowCounter::completeBefore(absl::Time clusterTime) const
{
    return windowAt(clusterTime - CountsComplete);
}

void UsageWindowCounter::count(const base::OrganisationId &organisation, absl::Time clusterTime)
{
    ++counts_[windowAt(clusterTime)][organisation.str()];
}

UsageCounts UsageWindowCounter::countsOf(WindowNumber window) const
{
    const auto found = counts_.find(window);
    return found == counts_.end() ? UsageCounts {} : found->second;
}

void UsageWindowCounter::discardBefore(WindowNumber window)
{
    counts_.erase(counts_.begin(), counts_.lower_bound(window));
}

} // namespace zinniadoor::gateway
