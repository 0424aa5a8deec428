#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"

#include "zinniadoor/control/bundle.hpp"
#include "zinniadoor/control/rate_limiter.hpp"
#include "zinniadoor/daemon/endpoint_prober.hpp"
#include "zinniadoor/daemon/model_request.hpp"
#include "zinniadoor/daemon/request.hpp"
#include "zinniadoor/serving/admission_queue.hpp"

namespace zinniadoor::daemon {

/// Where requests ask whether they are within their organisation's rate.
class RateGate
{
public:
    virtual ~RateGate() = default;

    /// Messages to peers have been sent when this returns; a waiting ticket is decided by
    /// `RequestLoop::onDecision`.
    virtual control::Admission admit(const base::OrganisationId &organisation, absl::Time now) = 0;
    virtual void cancel(control::Ticket ticket) = 0;
};

/// Makes requests for routes whose calls may run at most once.
class ActionStarter
{
public:
    virtual ~ActionStarter() = default;
    virtual std::unique_ptr<Request> start(std::shared_ptr<ports::CallerExchange> exchange,
                                           const base::RequestId &id, const Caller &caller,
                                           const control::Route &route)
        = 0;
};

/// Told when an endpoint is found to have crashed with requests in flight.
class CrashListener
{
public:
    virtual ~CrashListener() = default;
    virtual void onCrash(const std::vector<serving::CrashEntry> &entries) = 0;
};

/// Whether the instance may take work, and why not.
struct Readiness
{
    bool ready = false;
    std::string reason = "no configuration yet";
};

/// Tokens a second that callers ask for.
struct TokenDemand
{
    double prefillPerSecond = 0;
    double decodePerSecond = 0;
};

/// All requests of this instance: takes them in, queues them, finds endpoints, and lets go of
/// them. For the core thread.
class RequestLoop
{
public:
    struct Parts
    {
        RequestServices &services;
        serving::AdmissionQueue &queue;
        RateGate &rate;
        ActionStarter &actions;
        CrashListener &crashListener;
    };

    explicit RequestLoop(Parts parts);

    void onArrived(std::shared_ptr<ports::CallerExchange> exchange);
    void onProgressed(const std::shared_ptr<ports::CallerExchange> &exchange);
    void onDecision(const control::Decision &decision);

    /// Takes over a configuration and cuts the requests of keys that are no longer in it.
    void setConfiguration(const control::Bundle &bundle);
    void setReadiness(Readiness readiness) { readiness_ = std::move(readiness); }

    /// Takes no new requests from now on; those that run go on.
    void drain() { draining_ = true; }

    /// Some frames of the log were applied.
    void onApplied();

    void tick(absl::Time now);

    /// Tokens a second that callers of this instance ask for, averaged over some seconds.
    TokenDemand demand(absl::Time now);

    std::size_t size() const { return requests_.size(); }

private:
    /// A request that waits for its rate decision.
    struct AwaitingRate
    {
        std::shared_ptr<ports::CallerExchange> exchange;
        base::RequestId id;
        Caller caller;
        std::optional<ModelCall> call;
        std::optional<control::Route> route;
    };

    std::optional<ErrorAnswer> cannotTake() const;
    base::RequestId newRequestId();

    /// A request that could not be taken counts against its objective, if its key is valid.
    void countTurnedAway(const ports::CallerExchange &exchange, base::ReasonCode code);
    const control::Route *findRoute(const std::string &path) const;
    void takeModelCall(AwaitingRate request, ModelCallKind kind);
    void takeServiceCall(AwaitingRate request);
    void askForRate(AwaitingRate request);
    void refuseForRate(const AwaitingRate &request, absl::Duration retryAfter);
    void admit(AwaitingRate request);
    void admitModelCall(AwaitingRate request);
    void add(std::unique_ptr<Request> request);
    void dispatch(absl::Time now);
    void expireQueue(absl::Time now);
    void restartBroken(absl::Time now);
    void startQueued(absl::Time now);
    bool mustWaitForCopy(const serving::RequestFacts &facts, absl::Time now) const;
    void probeDoubted();
    void onProbed(const base::EndpointId &endpoint, ProbeResult result);
    void updateWeights(absl::Time now);
    void sweepDone();
    ModelRequest *modelRequest(const base::RequestId &id);
    void decayDemand(absl::Time now);

    RequestServices &services_;
    serving::AdmissionQueue &queue_;
    RateGate &rate_;
    ActionStarter &actions_;
    CrashListener &crashListener_;
    EndpointProber prober_;
    Authenticator authenticator_;
    control::Bundle bundle_;
    Readiness readiness_;
    bool draining_ = false;
    TokenDemand demand_;
    absl::Time nextWeightsAt_ = absl::InfinitePast();
    absl::Time demandAt_ = absl::InfinitePast();
    std::uint64_t idPrefix_ = 0;
    std::uint64_t lastId_ = 0;
    absl::flat_hash_map<control::Ticket, AwaitingRate> awaitingRate_;
    absl::flat_hash_map<base::RequestId, std::unique_ptr<Request>> requests_;
    absl::flat_hash_map<base::RequestId, ModelRequest *> modelRequests_;
    absl::flat_hash_map<const ports::CallerExchange *, base::RequestId> byExchange_;
};

} // namespace zinniadoor::daemon
