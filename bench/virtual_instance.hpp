#pragma once

#include <cstdint>
#include <memory>
#include <random>
#include <set>
#include <vector>

#include "absl/container/flat_hash_map.h"

#include "event_loop.hpp"
#include "results.hpp"
#include "scenario.hpp"
#include "virtual_fleet.hpp"
#include "zinniadoor/serving/admission_queue.hpp"
#include "zinniadoor/serving/drain_plan.hpp"
#include "zinniadoor/serving/endpoint_table.hpp"
#include "zinniadoor/serving/outlier_ejection.hpp"
#include "zinniadoor/serving/retry_policy.hpp"
#include "zinniadoor/serving/router.hpp"

namespace zinniadoor::bench {

/// One simulated instance: queues, router, retries and ejection, connected to virtual engines.
class VirtualInstance
{
public:
    VirtualInstance(const Scenario &scenario, const Variant &variant, std::uint32_t number,
                    VirtualFleet &fleet, EventLoop &loop, RunResult &result);

    /// Accepts an arriving request; its outcome goes to `result.records[record]`.
    void submit(const Arrival &arrival, std::size_t record);

    /// Runs periodic work, ten times per second: load reports, expiry, ejection and migrations.
    void tick();

    /// Handles the notice that an engine will leave; plans the migration of its streams.
    void onLeaving(const base::EndpointId &endpoint, absl::Time leavesAt);

    serving::EndpointTable &table() { return table_; }
    const base::InstanceId &id() const { return id_; }

private:
    struct ActiveRequest
    {
        serving::RequestFacts facts;
        std::size_t record = 0;
        std::uint32_t promptTokens = 0;
        std::uint32_t outputTokens = 0; ///< Of the complete response.
        std::uint32_t tokensDone = 0;
        serving::Phase phase = serving::Phase::Whole;
        bool hasKv = false; ///< The KV cache is transferred with the request.
        std::uint32_t attempts = 0;
        std::vector<base::EndpointId> excluded;
        base::EndpointId endpoint;
        VirtualEngine::JobNumber job = 0;
        absl::Time sentAt;
    };

    void enqueue(ActiveRequest &request);
    void describePhase(ActiveRequest &request);
    void expire();
    void dispatchQueued();
    bool dispatchOne(serving::AdmissionQueue &queue);
    serving::RouteChoice choose(const ActiveRequest &request);
    void dispatch(ActiveRequest &request, const base::EndpointId &endpoint, absl::Duration delay);
    void startJob(const base::RequestId &id);
    void onFirstToken(const base::RequestId &id);
    void countTokens(const ActiveRequest &request);
    void onFinish(const base::RequestId &id);
    void onAborted(const base::RequestId &id, std::uint32_t tokens);
    void onRefused(ActiveRequest &request);
    void retry(ActiveRequest &request, bool mayHaveRun);
    void migrateDueStreams();
    bool migrate(ActiveRequest &request, serving::DrainAction action);
    void finish(const base::RequestId &id, RequestOutcome outcome);

    const Scenario &scenario_;
    const Variant &variant_;
    base::InstanceId id_;
    VirtualFleet &fleet_;
    EventLoop &loop_;
    RunResult &result_;
    std::mt19937_64 random_;
    serving::EndpointTable table_;
    std::unique_ptr<serving::Router> router_;
    std::unique_ptr<serving::AdmissionQueue> queue_;
    std::unique_ptr<serving::AdmissionQueue> decodeQueue_; ///< Queue of requests after prefill.
    std::unique_ptr<serving::RetryPolicy> retries_;
    serving::OutlierEjection ejection_;
    absl::flat_hash_map<base::RequestId, std::unique_ptr<ActiveRequest>> activeRequests_;
    std::vector<serving::DrainStep> pendingMigrations_;
    std::uint64_t ticks_ = 0;
    absl::Time firstReclaimAt_ = absl::InfiniteFuture(); ///< Start of the first reclaim fault.
};

} // namespace zinniadoor::bench
