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

/// An order that may be sent while its lease lasts.
struct GuardedOrder
{
    ports::EndpointOrder order;
    absl::Time validUntil; ///< Monotonic.
};

/// Takes orders to be sent. Each one taken is answered by an OrderEnded.
class OrderSender
{
public:
    virtual ~OrderSender() = default;

    /// False when too many wait.
    virtual bool send(GuardedOrder order) = 0;
};

/// Sends orders to engines and to the platform's endpoint interface on a thread of its own.
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

/// A usage report that may be sent while its lease lasts.
struct GuardedReport
{
    ports::UsageReport report;
    absl::Time validUntil; ///< Monotonic.
};

/// Sends usage reports to billing on a thread of its own. Each is answered by a ReportEnded.
class ReportWorker
{
public:
    ReportWorker(adapters::PlatformOptions platform, CoreRing &core);
    ~ReportWorker();
    ReportWorker(const ReportWorker &) = delete;
    ReportWorker &operator=(const ReportWorker &) = delete;

    /// False when too many wait.
    bool send(GuardedReport report);

private:
    void run();

    const adapters::PlatformOptions platform_;
    CoreRing &core_;
    base::Ring<GuardedReport> reports_;
    std::atomic<bool> stopping_ { false };
    std::thread thread_;
};

/// Reads the platform's instance list at intervals on a thread of its own.
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
