#include "zinniadoor/daemon/platform_workers.hpp"

#include <utility>

#include "absl/time/clock.h"

#include "zinniadoor/adapters/lease_guard.hpp"

namespace zinniadoor::daemon {

namespace {

constexpr std::size_t RingCapacity = 4096;
constexpr absl::Duration PollInterval = absl::Milliseconds(200);

} // namespace

OrderWorker::OrderWorker(adapters::PlatformOptions platform, CoreRing &core)
    : platform_(std::move(platform))
    , core_(core)
    , orders_(RingCapacity)
    , thread_([this] { run(); })
{ }

OrderWorker::~OrderWorker()
{
    stopping_ = true;
    orders_.wake();
    thread_.join();
}

bool OrderWorker::send(GuardedOrder order)
{
    return orders_.tryPush(std::move(order));
}

void OrderWorker::run()
{
    // The guard's timer signals the thread that creates it, so it is created on this thread.
    adapters::LeaseGuard guard;
    const std::unique_ptr<ports::EndpointOrders> sender
        = adapters::httpEndpointOrders(platform_, &guard);
    while (!stopping_) {
        const std::optional<GuardedOrder> order = orders_.pop(PollInterval);
        if (!order)
            continue;
        guard.arm(order->validUntil);
        OrderCompleted completed { order->order, sender->send(order->order) };
        guard.disarm();
        pushBlocking(core_, std::move(completed), [this] { return stopping_.load(); });
    }
}

UsageReportWorker::UsageReportWorker(adapters::PlatformOptions platform, CoreRing &core)
    : platform_(std::move(platform))
    , core_(core)
    , reports_(RingCapacity)
    , thread_([this] { run(); })
{ }

UsageReportWorker::~UsageReportWorker()
{
    stopping_ = true;
    reports_.wake();
    thread_.join();
}

bool UsageReportWorker::send(GuardedUsageReport report)
{
    return reports_.tryPush(std::move(report));
}

void UsageReportWorker::run()
{
    adapters::LeaseGuard guard;
    const std::unique_ptr<ports::Billing> billing = adapters::httpBilling(platform_, &guard);
    while (!stopping_) {
        const std::optional<GuardedUsageReport> report = reports_.pop(PollInterval);
        if (!report)
            continue;
        guard.arm(report->validUntil);
        UsageReportCompleted completed { report->report, billing->report(report->report) };
        guard.disarm();
        pushBlocking(core_, std::move(completed), [this] { return stopping_.load(); });
    }
}

InstanceListWorker::InstanceListWorker(adapters::PlatformOptions platform, absl::Duration interval,
                                       CoreRing &core)
    : platform_(std::move(platform))
    , interval_(interval)
    , core_(core)
    , wakeups_(1)
    , thread_([this] { run(); })
{ }

InstanceListWorker::~InstanceListWorker()
{
    stopping_ = true;
    wakeups_.wake();
    thread_.join();
}

void InstanceListWorker::run()
{
    const std::unique_ptr<ports::InstanceList> list = adapters::httpInstanceList(platform_);
    while (!stopping_) {
        base::Outcome<std::vector<ports::ListedInstance>> instances = list->list();
        if (instances)
            pushBlocking(core_, InstancesListed { std::move(*instances) },
                         [this] { return stopping_.load(); });
        wakeups_.pop(interval_);
    }
}

} // namespace zinniadoor::daemon
