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

/// Closes usage windows and reports them for the shards whose lease this instance holds.
/// For the core thread.
class ReportManager
{
public:
    /// `lease`: for which a report's authority lasts, less the margin.
    ReportManager(ControlLoop &control, const LeaseManager &leases, ReportWorker &worker,
                  Metrics &metrics, absl::Duration lease);

    void tick(absl::Time now, absl::Time wallTime);
    void onEnded(const ReportEnded &ended, absl::Time now);

    /// Sends nothing more; for a planned stop.
    void stop() { stopping_ = true; }

    /// No report is with the worker, which may hold one that passed its check.
    bool isIdle() const { return reportsOut_ == 0; }

private:
    ControlLoop &control_;
    const LeaseManager &leases_;
    ReportWorker &worker_;
    Metrics &metrics_;
    std::vector<control::UsageReportController> keepers_; ///< By shard.
    int reportsOut_ = 0;
    bool stopping_ = false;
};

/// Plans roles and sends orders for the data centres whose lease this instance holds.
/// For the core thread.
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
    void onEnded(const OrderEnded &ended, absl::Time now);

    /// Sends nothing more; for a planned stop.
    void stop() { stopping_ = true; }

    /// No order is with the worker, which may hold one that passed its check.
    bool isIdle() const { return ordersOut_ == 0; }

private:
    struct Planned
    {
        control::Endpoint endpoint;
        control::OrderController keeper;
        std::optional<control::DesiredOrder> wanted = std::nullopt;
        absl::Time openSince = absl::InfiniteFuture(); ///< An order is open, as read in the log.
        bool isListed = true; ///< In the configuration in force.
        bool sent = false; ///< The open order of this instance was given to the worker.
    };

    const control::LeaseController *leaseOf(const base::DataCentreId &dataCentre) const;
    void plan(const TokenDemand &demand, absl::Time now);
    void step(Planned &planned, absl::Time now);
    void drainWhileOpen(Planned &planned, absl::Time now);
    bool isDrained(const Planned &planned, absl::Time now) const;
    bool isOpen(const base::EndpointId &endpoint) const;

    Parts parts_;
    std::map<base::EndpointId, Planned> planned_;
    int ordersOut_ = 0;
    bool stopping_ = false;
    double prefillPace_ = 0;
    double decodePace_ = 0;
    absl::Time nextPlanAt_ = absl::InfinitePast();
};

/// Writes snapshots while this instance holds their lease. For the core thread.
class SnapshotManager
{
public:
    SnapshotManager(ControlLoop &control, const LeaseManager &leases, base::Offset everyRecords);

    void tick();

private:
    ControlLoop &control_;
    const LeaseManager &leases_;
    base::Offset everyRecords_;
    base::Offset writtenThrough_ = 0;
};

} // namespace zinniadoor::daemon
