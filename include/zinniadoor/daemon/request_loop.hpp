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

/// Decides whether requests are within the rate of their organisation.
class RateGate
{
public:
    virtual ~RateGate() = default;

    /// Sends any messages to peers before it returns. If the verdict is `Waiting`, the decision
    /// follows through `RequestLoop::onDecision`.
    virtual control::Admission admit(const base::OrganisationId &organisation, absl::Time now) = 0;
    virtual void cancel(control::Ticket ticket) = 0;
};

/// Creates requests for routes whose calls are executed at most once.
class ActionRequestFactory
{
public:
    virtual ~ActionRequestFactory() = default;
    virtual std::unique_ptr<Request> start(std::shared_ptr<ports::CallerExchange> exchange,
                                           const base::RequestId &id, const Caller &caller,
                                           const control::Route &route)
        = 0;
};

/// Notified of what peers have to know of bodies that crash endpoints.
class CrashListener
{
public:
    virtual ~CrashListener() = default;

    /// A probe has found that an endpoint has crashed.
    virtual void onCrash(const std::vector<serving::CrashEntry> &entries) = 0;

    /// Answers and trials of bodies.
    virtual void onBodyReports(const serving::CrashReports &reports) = 0;
};

/// Whether the instance accepts requests and, if not, the reason.
struct Readiness
{
    bool ready = false;
    std::string reason = "no configuration yet";
};

/// Tokens per second that callers request.
struct TokenDemand
{
    double prefillPerSecond = 0;
    double decodePerSecond = 0;
};

/// Owns all requests of this instance: authenticates and admits them, queues model calls,
/// dispatches them to endpoints and destroys finished ones. Used on the core thread.
class RequestLoop
{
public:
    struct Parts
    {
        RequestServices &services;
        serving::AdmissionQueue &queue;
        RateGate &rate;
        ActionRequestFactory &actions;
        CrashListener &crashListener;
    };

    explicit RequestLoop(Parts parts);

    void onRequestArrived(std::shared_ptr<ports::CallerExchange> exchange);
    void onRequestProgress(const std::shared_ptr<ports::CallerExchange> &exchange);
    void onDecision(const control::Decision &decision);

    /// Applies a configuration and aborts the requests of keys that it no longer contains.
    void setConfiguration(const control::Bundle &bundle);
    void setReadiness(Readiness readiness) { readiness_ = std::move(readiness); }

    /// Refuses new requests from now on; requests in progress continue.
    void drain() { draining_ = true; }

    /// Frames of the control log were applied.
    void onApplied();

    void tick(absl::Time now);

    /// Tokens per second that callers of this instance request; exponential moving average.
    TokenDemand demand(absl::Time now);

    std::size_t size() const { return requests_.size(); }

private:
    /// A request that has not been admitted yet.
    struct PendingRequest
    {
        std::shared_ptr<ports::CallerExchange> exchange;
        base::RequestId id;
        Caller caller;
        std::optional<ModelCall> call;
        std::optional<control::Route> route;
    };

    std::optional<ErrorResponse> admissionError() const;
    base::RequestId newRequestId();

    /// Counts a rejected request against its objective, if its key is valid or its route open.
    void countRejected(const ports::CallerExchange &exchange, base::ReasonCode code);
    const control::Route *findRoute(const std::string &path) const;
    void handleModelCall(PendingRequest request, ModelCallKind kind);
    void handleServiceCall(PendingRequest request);
    void checkRate(PendingRequest request);
    void rejectOverRate(const PendingRequest &request, absl::Duration retryAfter);
    void admit(PendingRequest request);
    void admitModelCall(PendingRequest request);
    void add(std::unique_ptr<Request> request);
    void dispatch(absl::Time now);
    void expireQueue(absl::Time now);
    void dispatchRetries(absl::Time now);
    void dispatchQueued(absl::Time now);
    bool mustWaitForCopy(const serving::RequestFacts &facts, absl::Time now) const;
    void startProbes();
    void onProbed(const base::EndpointId &endpoint, ProbeResult result);
    void updateWeights(absl::Time now);
    void eraseDone();
    ModelRequest *modelRequest(const base::RequestId &id);
    void decayDemand(absl::Time now);

    RequestServices &services_;
    serving::AdmissionQueue &queue_;
    RateGate &rate_;
    ActionRequestFactory &actions_;
    CrashListener &crashListener_;
    EndpointProber prober_;
    Authenticator authenticator_;
    control::Bundle bundle_;
    Readiness readiness_;
    bool draining_ = false;
    TokenDemand demand_;
    absl::Time nextWeightUpdateAt_ = absl::InfinitePast();
    absl::Time demandDecayedAt_ = absl::InfinitePast();
    std::uint64_t idPrefix_ = 0;
    std::uint64_t lastId_ = 0;
    absl::flat_hash_map<control::Ticket, PendingRequest> awaitingRateDecision_;
    absl::flat_hash_map<base::RequestId, std::unique_ptr<Request>> requests_;
    absl::flat_hash_map<base::RequestId, ModelRequest *> modelRequests_;
    absl::flat_hash_map<const ports::CallerExchange *, base::RequestId> byExchange_;
};

} // namespace zinniadoor::daemon
