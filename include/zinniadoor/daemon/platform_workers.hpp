#pragma once

#include <atomic>
#include <memory>
#include <thread>

#include "absl/time/time.h"

#include "zinniadoor/adapters/platform_http.hpp"
#include "zinniadoor/base/ring.hpp"
#include "zinniadoor/daemon/core_messages.hpp"
#include "zinniadoor/ports/platform.hpp"

namespace zinniadoor::daemon {

/// An order that may be sent only until its lease expires.
struct GuardedOrder
{
    ports::EndpointOrder order;
    absl::Time validUntil; ///< Monotonic.
};

/// Sends orders asynchronously. Each accepted one leads to an OrderCompleted.
class OrderSender
{
public:
    virtual ~OrderSender() = default;

    /// Returns false if the queue is full.
    virtual bool send(GuardedOrder order) = 0;
};

/// Sends orders to engines and to the platform's endpoint interface on its own thread.
class OrderWorker : public OrderSender
{
public:
    OrderWorker(adapters::PlatformOptions platform, CoreRing &core);
    ~OrderWorker() override;
    OrderWorker(const OrderWorker &) = delete;
    OrderWorker &operator=(const OrderWorker &) = delete;

    bool send(GuardedOrder order) override;

private:
    void run();

    const adapters::PlatformOptions platform_;
    CoreRing &core_;
    base::Ring<GuardedOrder> orders_;
    std::atomic<bool> stopping_ { false };
    std::thread thread_;
};

/// A usage report that may be sent only until its lease expires.
struct GuardedUsageReport
{
    ports::UsageReport report;
    absl::Time validUntil; ///< Monotonic.
};

/// Sends usage reports to billing on its own thread. Each accepted one leads to a
/// UsageReportCompleted.
class UsageReportWorker
{
public:
    UsageReportWorker(adapters::PlatformOptions platform, CoreRing &core);
    ~UsageReportWorker();
    UsageReportWorker(const UsageReportWorker &) = delete;
    UsageReportWorker &operator=(const UsageReportWorker &) = delete;

    /// Returns false if the queue is full.
    bool send(GuardedUsageReport report);

private:
    void run();

    const adapters::PlatformOptions platform_;
    CoreRing &core_;
    base::Ring<GuardedUsageReport> reports_;
    std::atomic<bool> stopping_ { false };
    std::thread thread_;
};

/// Polls the platform's instance list on its own thread.
class InstanceListWorker
{
public:
    InstanceListWorker(adapters::PlatformOptions platform, absl::Duration interval, CoreRing &core);
    ~InstanceListWorker();
    InstanceListWorker(const InstanceListWorker &) = delete;
    InstanceListWorker &operator=(const InstanceListWorker &) = delete;

private:
    void run();

    const adapters::PlatformOptions platform_;
    const absl::Duration interval_;
    CoreRing &core_;
    base::Ring<bool> wakeups_;
    std::atomic<bool> stopping_ { false };
    std::thread thread_;
};

} // namespace zinniadoor::daemon
