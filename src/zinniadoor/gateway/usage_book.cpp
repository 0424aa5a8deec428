#include "zinniadoor/gateway/usage_book.hpp"

namespace zinniadoor::gateway {

namespace {

/// After a window's end: requests that began in it have been counted by then.
constexpr absl::Duration CountsComplete = absl::Milliseconds(600);

} // namespace

UsageBook::UsageBook(absl::Duration window)
    : window_(window)
{ }

WindowNumber UsageBook::windowAt(absl::Time trueTime) const
{
    return static_cast<WindowNumber>((trueTime - absl::UnixEpoch()) / window_);
}

absl::Time UsageBook::endOf(WindowNumber window) const
{
    return absl::UnixEpoch() + static_cast<std::int64_t>(window + 1) * window_;
}

WindowNumber UsageBook::completeBefore(absl::Time trueTime) const
{
    return windowAt(trueTime - CountsComplete);
}

void UsageBook::count(const base::OrganisationId &organisation, absl::Time trueTime)
{
    ++counts_[windowAt(trueTime)][organisation.str()];
}

UsageCounts UsageBook::countsOf(WindowNumber window) const
{
    const auto found = counts_.find(window);
    return found == counts_.end() ? UsageCounts {} : found->second;
}

void UsageBook::forgetBefore(WindowNumber window)
{
    counts_.erase(counts_.begin(), counts_.lower_bound(window));
}

} // namespace zinniadoor::gateway
