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

/// One instance's decisions, wired to virtual engines.
class VirtualInstance
{
public:
    VirtualInstance(const Scenario &scenario, const Variant &variant, std::uint32_t number,
                    VirtualFleet &fleet, EventLoop &loop, RunResult &result);

    /// A request arrives; its record is `result.records[record]`.
    void submit(const Arrival &arrival, std::size_t record);

    /// Ten times a second: reports, expiry, ejection, moves.
    void tick();

    /// An engine has been announced to leave.
    void onLeaving(const base::EndpointId &endpoint, absl::Time leavesAt);

    serving::EndpointTable &table() { return table_; }
    const base::InstanceId &id() const { return id_; }

private:
    struct Live
    {
        serving::RequestFacts facts;
        std::size_t record = 0;
        std::uint32_t promptTokens = 0;
        std::uint32_t outputTokens = 0; ///< Of the whole answer.
        std::uint32_t tokensDone = 0;
        serving::Phase phase = serving::Phase::Whole;
        bool hasKv = false; ///< The KV cache comes along.
        std::uint32_t attempts = 0;
        std::vector<base::EndpointId> excluded;
        base::EndpointId endpoint;
        VirtualEngine::JobNumber job = 0;
        absl::Time sentAt;
    };

    void enqueue(Live &live);
    void describePhase(Live &live);
    void expire();
    void pump();
    bool startOne(serving::AdmissionQueue &queue);
    serving::RouteChoice choose(const Live &live);
    void start(Live &live, const base::EndpointId &endpoint, absl::Duration delay);
    void begin(const base::RequestId &id);
    void onFirstToken(const base::RequestId &id);
    void countTokens(const Live &live);
    void onFinish(const base::RequestId &id);
    void onBroken(const base::RequestId &id, std::uint32_t tokens);
    void onRefused(Live &live);
    void retry(Live &live, bool mayHaveRun);
    void moveDue();
    bool move(Live &live, serving::DrainAction action);
    void finish(const base::RequestId &id, RequestEnd end);

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
    std::unique_ptr<serving::AdmissionQueue> decodeQueue_; ///< Prefilled requests.
    std::unique_ptr<serving::RetryPolicy> retries_;
    serving::OutlierEjection ejection_;
    absl::flat_hash_map<base::RequestId, std::unique_ptr<Live>> live_;
    std::vector<serving::DrainStep> moves_;
    std::uint64_t ticks_ = 0;
    absl::Time firstLoss_ = absl::InfiniteFuture(); ///< Of a zone.
};

} // namespace zinniadoor::bench
