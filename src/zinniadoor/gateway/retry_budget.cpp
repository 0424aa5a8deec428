#include "zinniadoor/gateway/retry_budget.hpp"

namespace zinniadoor::gateway {

namespace {

/// Share of the ratio and of the slack that is used. The rest makes room for retries that were
/// accrued before a window and are sent within it.
constexpr double UsableBudgetShare = 0.85;

/// Requests of this share of a window may have accrued retries that are not consumed yet. A process
/// that is killed right after it has consumed them has a successor that accrues anew, so that a
/// window can contain both: (1 + 0.15) x 0.85 < 1.
constexpr double AccrualShare = 0.15;

} // namespace

RetryBudget::RetryBudget(const RetryBudgetOptions &options)
    : options_(options)
{ }

double RetryBudget::slackShare() const
{
    const double share = instances_ ? 1.0 / *instances_ : options_.startShare;
    return UsableBudgetShare * options_.slack * share;
}

RetryBudget::Service &RetryBudget::service(const std::string &name)
{
    const auto [it, isNew] = services_.try_emplace(name);
    if (isNew)
        it->second.level = options_.startShare * slackShare();
    return it->second;
}

void RetryBudget::expire(Service &service, absl::Time now) const
{
    const absl::Time begin = now - options_.window * AccrualShare;
    while (!service.requests.empty() && service.requests.front() < begin)
        service.requests.pop_front();
    const double accrued
        = UsableBudgetShare * options_.ratio * static_cast<double>(service.requests.size());
    service.level = std::min(service.level, accrued + slackShare());
}

void RetryBudget::noteRequest(const std::string &name, absl::Time now)
{
    Service &counted = service(name);
    counted.requests.push_back(now);
    counted.level += UsableBudgetShare * options_.ratio;
    expire(counted, now);
}

bool RetryBudget::take(const std::string &name, absl::Time now)
{
    Service &counted = service(name);
    expire(counted, now);
    if (counted.level < 1)
        return false;
    counted.level -= 1;
    return true;
}

} // namespace zinniadoor::gateway
