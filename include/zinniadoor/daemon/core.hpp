#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <random>
#include <string>

#include "absl/synchronization/mutex.h"

#include "zinniadoor/control/membership.hpp"
#include "zinniadoor/daemon/action_request.hpp"
#include "zinniadoor/daemon/call_table.hpp"
#include "zinniadoor/daemon/control_loop.hpp"
#include "zinniadoor/daemon/core_messages.hpp"
#include "zinniadoor/daemon/duty_managers.hpp"
#include "zinniadoor/daemon/endpoint_poller.hpp"
#include "zinniadoor/daemon/lease_manager.hpp"
#include "zinniadoor/daemon/peer_messenger.hpp"
#include "zinniadoor/daemon/platform_workers.hpp"
#include "zinniadoor/daemon/request_loop.hpp"
#include "zinniadoor/daemon/share_manager.hpp"
#include "zinniadoor/daemon/state_transfer.hpp"
#include "zinniadoor/daemon/usage_recorder.hpp"

namespace zinniadoor::daemon {

/// Status of the core as published to other threads.
struct CoreStatus
{
    Readiness readiness;
    std::uint64_t bundleVersion = 0;
    std::string bundleDigest;
    base::Offset logOffset = 0;
    std::size_t requests = 0;
    std::size_t shareSlots = 0; ///< Held by this instance.
    bool logCurrent = false;
    bool drained = false; ///< A graceful shutdown has finished or timed out.
};

/// Message loop that owns all serving and control state and runs it on one thread.
class Core : private ControlObserver, private ActionRequestFactory, private CrashListener
{
public:
    struct Parts
    {
        const Settings &settings;
        const base::Clock &clock;
        CoreRing &ring;
        ports::EndpointClient &endpoints;
        ports::PeerLink &peers;
        LogTail &tail;
        LogAppender &appender;
        OrderWorker &orders;
        UsageReportWorker &reports;
        Metrics &metrics;
        BurnRecorder &burn;
        std::uint64_t seed = 1;
        base::Incarnation incarnation = 0;
    };

    explicit Core(Parts parts);
    ~Core() override;

    /// Handles messages and ticks until `stop` is called.
    void run();
    void stop() { stopping_ = true; }

    /// Thread-safe.
    CoreStatus status() const;

private:
    void handle(CoreMessage message);
    void on(CallerRequestReceived &message);
    void on(CallerExchangeUpdated &message);
    void on(EndpointCallUpdated &message);
    void on(LogPageRead &message);
    void on(LogReadFailed &message);
    void on(LogAppendCompleted &message);
    void on(PeerDatagramReceived &message);
    void on(PeerRequestReceived &message);
    void on(PeerCallCompleted &message);
    void on(InstancesListed &message);
    void on(OrderCompleted &message);
    void on(UsageReportCompleted &message);
    void on(StopRequested &message);
    void onPeerMessage(const control::PeerMessage &message);
    void onHeartbeat(const control::Heartbeat &heartbeat, absl::Time now);
    void tick(absl::Time now);
    void tickPeers(absl::Time now);
    void tickDuties(absl::Time now);
    TokenDemand fleetDemand(absl::Time now);
    void tickStop(absl::Time now);
    void updatePeers(absl::Time now);
    void setScopes(const control::Bundle &bundle);
    Readiness computeReadiness(absl::Time now) const;
    void publishStatus();

    void onConfiguration(const control::Bundle &bundle) override;
    void onOwnFrame(const control::Frame &frame, const control::ApplyResult &result) override;
    void onApplied(absl::Time readAt) override;
    std::unique_ptr<Request> start(std::shared_ptr<ports::CallerExchange> exchange,
                                   const base::RequestId &id, const Caller &caller,
                                   const control::Route &route) override;
    void onCrash(const std::vector<serving::CrashEntry> &entries) override;
    void onBodyReports(const serving::CrashReports &reports) override;

    Parts parts_;
    std::mt19937_64 random_;
    CallTable calls_;
    serving::EndpointTable endpoints_;
    std::unique_ptr<serving::Router> router_;
    std::unique_ptr<serving::AdmissionQueue> queue_;
    std::unique_ptr<serving::RetryPolicy> retries_;
    serving::OutlierEjection ejection_;
    serving::CrashList crashes_;
    ControlLoop control_;
    control::Membership membership_;
    PeerMessenger messenger_;
    ShareManager shares_;
    UsageRecorder usage_;
    control::ActionController actionKeeper_;
    ActionServices actionServices_;
    RequestServices services_;
    RequestLoop requests_;
    EndpointPoller poller_;
    LeaseManager leases_;
    UsageReportManager reports_;
    std::unique_ptr<serving::RolePlanner> planner_;
    OrderManager orders_;
    SnapshotManager snapshots_;
    StateTransfer stateTransfer_;
    absl::Time lastPeerMessageAt_ = absl::InfinitePast();
    absl::Time nextPeerTick_ = absl::InfinitePast();
    bool draining_ = false;
    bool leasesReleased_ = false;
    absl::Time workCompletedAt_ = absl::InfiniteFuture(); ///< After StopRequested.
    bool stopRecordAppended_ = false;
    std::atomic<bool> stopping_ { false };
    mutable absl::Mutex statusMutex_;
    CoreStatus status_ ABSL_GUARDED_BY(statusMutex_);
};

} // namespace zinniadoor::daemon
