#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"

#include "zinniadoor/control/order_controller.hpp"
#include "zinniadoor/control/usage_reporting.hpp"
#include "zinniadoor/daemon/control_loop.hpp"
#include "zinniadoor/daemon/lease_manager.hpp"
#include "zinniadoor/daemon/metrics.hpp"
#include "zinniadoor/daemon/platform_workers.hpp"
#include "zinniadoor/daemon/request_loop.hpp"
#include "zinniadoor/serving/endpoint_table.hpp"
#include "zinniadoor/serving/role_plan.hpp"

namespace zinniadoor::daemon {

/// Closes the usage windows of those shards whose lease this instance holds, and reports them to
/// billing. Used on the core thread only.
class UsageReportManager
{
public:
    /// `lease`: duration of a lease without its margin, within which a report has to be sent.
    UsageReportManager(ControlLoop &control, const LeaseManager &leases, UsageReportWorker &worker,
                       Metrics &metrics, absl::Duration lease);

    void tick(absl::Time now, absl::Time wallTime);
    void onCompleted(const UsageReportCompleted &completed, absl::Time now);

    /// Sends nothing more; for a graceful shutdown.
    void stop() { stopping_ = true; }

    /// Whether the worker has no report in flight; such a report may have passed its lease check.
    bool isIdle() const { return reportsInFlight_ == 0; }

private:
    ControlLoop &control_;
    const LeaseManager &leases_;
    UsageReportWorker &worker_;
    Metrics &metrics_;
    std::vector<control::UsageReportController> controllers_; ///< By shard.
    int reportsInFlight_ = 0;
    bool stopping_ = false;
};

/// Plans the roles of engines, and sends the orders for those data centres whose lease this
/// instance holds. Used on the core thread only.
class OrderManager
{
public:
    struct Parts
    {
        ControlLoop &control;
        const LeaseManager &leases;
        OrderSender &sender;
        serving::EndpointTable &endpoints;
        Metrics &metrics;
        serving::RolePlanner &planner;
    };

    explicit OrderManager(Parts parts);

    void setConfiguration(const control::Bundle &bundle);
    void tick(const TokenDemand &demand, absl::Time now);
    void onCompleted(const OrderCompleted &completed, absl::Time now);

    /// Sends nothing more; for a graceful shutdown.
    void stop() { stopping_ = true; }

    /// Whether the worker has no order in flight; such an order may have passed its lease check.
    bool isIdle() const { return ordersInFlight_ == 0; }

private:
    struct PlannedEndpoint
    {
        control::Endpoint endpoint;
        control::OrderController controller;
        std::optional<control::DesiredOrder> desired = std::nullopt;
        absl::Time openSince = absl::InfiniteFuture(); ///< When an order was first seen open.
        bool isConfigured = true; ///< Present in the configuration in force.
        bool sent = false; ///< The worker has received the open order of this instance.
    };

    const control::LeaseController *heldLease(const base::DataCentreId &dataCentre) const;
    void plan(const TokenDemand &demand, absl::Time now);
    void advance(PlannedEndpoint &planned, absl::Time now);
    void drainWhileOpen(PlannedEndpoint &planned, absl::Time now);
    bool isDrained(const PlannedEndpoint &planned, absl::Time now) const;
    bool isOpen(const base::EndpointId &endpoint) const;

    Parts parts_;
    std::map<base::EndpointId, PlannedEndpoint> planned_;
    int ordersInFlight_ = 0;
    bool stopping_ = false;
    double enginePrefillRate_ = 0;
    double engineDecodeRate_ = 0;
    absl::Time nextPlanAt_ = absl::InfinitePast();
};

/// Appends snapshots of the state while this instance holds their lease. Used on the core thread
/// only.
class SnapshotManager
{
public:
    SnapshotManager(ControlLoop &control, const LeaseManager &leases,
                    base::Offset snapshotInterval);

    void tick();

private:
    ControlLoop &control_;
    const LeaseManager &leases_;
    base::Offset snapshotInterval_;
    base::Offset lastWrittenOffset_ = 0;
};

} // namespace zinniadoor::daemon
