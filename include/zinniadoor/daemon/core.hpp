#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <random>
#include <string>

#include "absl/synchronization/mutex.h"

#include "zinniadoor/daemon/call_table.hpp"
#include "zinniadoor/daemon/control_loop.hpp"
#include "zinniadoor/daemon/core_messages.hpp"
#include "zinniadoor/daemon/endpoint_poller.hpp"
#include "zinniadoor/daemon/request_loop.hpp"

namespace zinniadoor::daemon {

/// What other threads may see of the core.
struct CoreStatus
{
    Readiness readiness;
    std::uint64_t bundleVersion = 0;
    std::size_t requests = 0;
    bool drained = false; ///< A planned stop has let go of all work.
};

/// Owns all serving and control state and runs it on one thread.
class Core : private ControlObserver,
             private RateGate,
             private ActionStarter,
             private CrashListener,
             private UsageSink
{
public:
    struct Parts
    {
        const Settings &settings;
        const base::Clock &clock;
        CoreRing &ring;
        ports::EndpointClient &endpoints;
        LogTail &tail;
        LogAppender &appender;
        Metrics &metrics;
        std::uint64_t seed = 1;
        base::Incarnation incarnation = 0;
    };

    explicit Core(Parts parts);
    ~Core() override;

    /// Runs until `stop`.
    void run();
    void stop() { stopping_ = true; }

    /// From any thread.
    CoreStatus status() const;

private:
    void handle(CoreMessage message);
    void on(CallerArrived &message);
    void on(CallerProgressed &message);
    void on(EndpointNews &message);
    void on(LogRead &message);
    void on(LogUnreadable &message);
    void on(AppendEnded &message);
    void on(PeerDatagram &message);
    void on(PeerCalled &message);
    void on(PeerAnswered &message);
    void on(InstancesListed &message);
    void on(OrderEnded &message);
    void on(ReportEnded &message);
    void on(StopRequested &message);
    void tick(absl::Time now);
    Readiness judgeReadiness(absl::Time now) const;
    void publishStatus();

    void onConfiguration(const control::Bundle &bundle) override;
    void onApplied() override;
    control::Admission admit(const base::OrganisationId &organisation, absl::Time now) override;
    void cancel(control::Ticket ticket) override;
    std::unique_ptr<Request> start(std::shared_ptr<ports::CallerExchange> exchange,
                                   const base::RequestId &id, const Caller &caller,
                                   const control::Route &route) override;
    void onCrash(const std::vector<serving::CrashEntry> &entries) override;
    void count(const UsedTokens &used, std::function<void()> settled) override;

    Parts parts_;
    std::mt19937_64 random_;
    CallTable calls_;
    serving::EndpointTable endpoints_;
    std::unique_ptr<serving::Router> router_;
    std::unique_ptr<serving::AdmissionQueue> queue_;
    std::unique_ptr<serving::RetryPolicy> retries_;
    serving::OutlierEjection ejection_;
    serving::CrashList crashes_;
    std::unique_ptr<control::RateLimiter> rate_;
    RequestServices services_;
    RequestLoop requests_;
    EndpointPoller poller_;
    ControlLoop control_;
    bool draining_ = false;
    std::uint64_t lastUsage_ = 0;
    std::atomic<bool> stopping_ { false };
    mutable absl::Mutex statusMutex_;
    CoreStatus status_ ABSL_GUARDED_BY(statusMutex_);
};

} // namespace zinniadoor::daemon
