#include "zinniadoor/gateway/retry_budget.hpp"

namespace zinniadoor::gateway {

namespace {

/// Safety margin: the windows of the instances are not aligned.
constexpr double UsableBudgetShare = 0.85;

} // namespace

RetryBudget::RetryBudget(const RetryBudgetOptions &options)
    : options_(options)
{ }

void RetryBudget::expire(Service &service, absl::Time now) const
{
    const absl::Time begin = now - options_.window;
    while (!service.requests.empty() && service.requests.front() < begin)
        service.requests.pop_front();
    while (!service.retries.empty() && service.retries.front() < begin)
        service.retries.pop_front();
}

void RetryBudget::noteRequest(const std::string &service, absl::Time now)
{
    Service &counted = services_[service];
    expire(counted, now);
    counted.requests.push_back(now);
}

bool RetryBudget::take(const std::string &service, absl::Time now)
{
    Service &counted = services_[service];
    expire(counted, now);
    const double allowed = UsableBudgetShare
        * (options_.ratio * static_cast<double>(counted.requests.size())
           + options_.slack / instances_);
    if (static_cast<double>(counted.retries.size()) + 1 > allowed)
        return false;
    counted.retries.push_back(now);
    return true;
}

} // namespace zinniadoor::gateway
