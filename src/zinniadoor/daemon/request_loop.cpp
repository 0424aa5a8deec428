#include "zinniadoor/daemon/request_loop.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

#include "zinniadoor/daemon/service_request.hpp"

namespace zinniadoor::daemon {

namespace {

constexpr int StatusMethodNotAllowed = 405;
constexpr absl::Duration DrainRetryAfter = absl::Seconds(1);
constexpr absl::Duration NotReadyRetryAfter = absl::Seconds(2);
constexpr absl::Duration FullRetryAfter = absl::Seconds(1);

/// Short compared with the seconds within which weights change.
constexpr absl::Duration WeightUpdateInterval = absl::Milliseconds(200);

/// Time constant of the moving average of the demand.
constexpr absl::Duration DemandWindow = absl::Seconds(5);

/// How long a failed call waits for another endpoint before the request fails.
constexpr absl::Duration RetryTimeout = absl::Seconds(10);

bool containsKey(const control::Bundle &bundle, const Caller &caller)
{
    for (const control::Organisation &organisation : bundle.organisations) {
        if (organisation.id != caller.organisation)
            continue;
        for (const control::KeyRecord &key : organisation.keys) {
            if (key.id == caller.key)
                return true;
        }
    }
    return false;
}

bool prefixMatches(const std::string &prefix, const std::string &path)
{
    if (!absl::StartsWith(path, prefix))
        return false;
    return path.size() == prefix.size() || prefix.back() == '/' || path[prefix.size()] == '/';
}

} // namespace

RequestLoop::RequestLoop(Parts parts)
    : services_(parts.services)
    , queue_(parts.queue)
    , rate_(parts.rate)
    , actions_(parts.actions)
    , crashListener_(parts.crashListener)
    , prober_(parts.services.calls,
              [this](const base::EndpointId &endpoint, ProbeResult result) {
                  onProbed(endpoint, result);
              })
    , idPrefix_(parts.services.random())
{ }

base::RequestId RequestLoop::newRequestId()
{
    ++lastId_;
    return base::RequestId(
        absl::StrCat("req-", absl::Hex(idPrefix_, absl::kZeroPad16), "-", lastId_));
}

std::optional<ErrorResponse> RequestLoop::admissionError() const
{
    using base::ReasonCode;
    if (draining_) {
        return errorResponseOf({ ReasonCode::Unavailable, "this instance is being stopped" },
                               RunState::NotRun, DrainRetryAfter);
    }
    if (!readiness_.ready) {
        return errorResponseOf({ ReasonCode::Unavailable, readiness_.reason }, RunState::NotRun,
                               NotReadyRetryAfter);
    }
    if (requests_.size() >= services_.settings.limits.activeRequests) {
        return errorResponseOf({ ReasonCode::Unavailable, "this instance holds too many requests" },
                               RunState::NotRun, FullRetryAfter);
    }
    return std::nullopt;
}

void RequestLoop::onRequestArrived(std::shared_ptr<ports::CallerExchange> exchange)
{
    PendingRequest request;
    request.id = newRequestId();
    request.exchange = std::move(exchange);
    if (const std::optional<ErrorResponse> error = admissionError()) {
        countRejected(*request.exchange, error->reason.code);
        sendError(*request.exchange, request.id, *error);
        return;
    }
    const std::string &path = request.exchange->request().path;
    if (path == pathOf(ModelCallKind::Chat)) {
        handleModelCall(std::move(request), ModelCallKind::Chat);
        return;
    }
    if (path == pathOf(ModelCallKind::Completion)) {
        handleModelCall(std::move(request), ModelCallKind::Completion);
        return;
    }
    if (const control::Route *route = findRoute(path)) {
        request.route = *route;
        handleServiceCall(std::move(request));
        return;
    }
    sendError(*request.exchange, request.id,
              errorResponseOf({ base::ReasonCode::NotFound, "no such path" }, RunState::NotRun));
}

void RequestLoop::countRejected(const ports::CallerExchange &exchange, base::ReasonCode code)
{
    const ports::CallerRequest &raw = exchange.request();
    const base::Outcome<Caller> caller = authenticator_.authenticate(raw.header("Authorization"));
    const control::Route *route = findRoute(raw.path);
    const bool open = route != nullptr && route->open;
    if (!caller && !open)
        return;
    std::string name = route != nullptr ? route->id.str() : "";
    for (const ModelCallKind kind : { ModelCallKind::Chat, ModelCallKind::Completion }) {
        if (raw.path == pathOf(kind))
            name = routeNameOf(kind);
    }
    services_.burn.countFailure(caller ? caller->organisation : base::OrganisationId(), name, code);
}

const control::Route *RequestLoop::findRoute(const std::string &path) const
{
    const control::Route *best = nullptr;
    for (const control::Route &route : bundle_.routes) {
        const bool longer = best == nullptr || route.prefix.size() > best->prefix.size();
        if (longer && prefixMatches(route.prefix, path))
            best = &route;
    }
    return best;
}

void RequestLoop::handleModelCall(PendingRequest request, ModelCallKind kind)
{
    const ports::CallerRequest &raw = request.exchange->request();
    if (raw.method != "POST") {
        ErrorResponse response { StatusMethodNotAllowed,
                                 { base::ReasonCode::InvalidArgument, "only POST is served here" },
                                 RunState::NotRun,
                                 absl::ZeroDuration() };
        sendError(*request.exchange, request.id, response);
        return;
    }
    const base::Outcome<Caller> caller = authenticator_.authenticate(raw.header("Authorization"));
    if (!caller) {
        sendError(*request.exchange, request.id,
                  errorResponseOf(caller.lastReason(), RunState::NotRun));
        return;
    }
    request.caller = *caller;
    base::Outcome<ModelCall> call = parseModelCall(kind, raw.body);
    if (!call) {
        sendError(*request.exchange, request.id,
                  errorResponseOf(call.lastReason(), RunState::NotRun));
        return;
    }
    const auto hasId = [&call](const control::Model &model) { return model.id == call->model; };
    if (std::none_of(bundle_.models.begin(), bundle_.models.end(), hasId)) {
        const base::Reason reason { base::ReasonCode::NotFound,
                                    absl::StrCat("model: no such model: ", call->model.str()) };
        sendError(*request.exchange, request.id, errorResponseOf(reason, RunState::NotRun));
        return;
    }
    request.call = std::move(*call);
    checkRate(std::move(request));
}

void RequestLoop::handleServiceCall(PendingRequest request)
{
    const std::string *authorization = request.exchange->request().header("Authorization");
    const base::Outcome<Caller> caller = authenticator_.authenticate(authorization);
    if (caller) {
        request.caller = *caller;
        checkRate(std::move(request));
        return;
    }
    if (!request.route->open) {
        sendError(*request.exchange, request.id,
                  errorResponseOf(caller.lastReason(), RunState::NotRun));
        return;
    }
    admit(std::move(request));
}

void RequestLoop::checkRate(PendingRequest request)
{
    const control::Admission admission
        = rate_.admit(request.caller.organisation, services_.clock.now());
    switch (admission.verdict) {
    case control::Verdict::Admitted:
        admit(std::move(request));
        break;
    case control::Verdict::Refused:
        rejectOverRate(request, admission.retryAfter);
        break;
    case control::Verdict::Waiting:
        awaitingRateDecision_.emplace(admission.ticket, std::move(request));
        break;
    }
    for (const control::Decision &decision : admission.effects.decisions)
        onDecision(decision);
}

void RequestLoop::onDecision(const control::Decision &decision)
{
    const auto found = awaitingRateDecision_.find(decision.ticket);
    if (found == awaitingRateDecision_.end())
        return;
    PendingRequest request = std::move(found->second);
    awaitingRateDecision_.erase(found);
    if (request.exchange->callerDisconnected())
        return;
    if (decision.verdict == control::Verdict::Admitted)
        admit(std::move(request));
    else
        rejectOverRate(request, decision.retryAfter);
}

void RequestLoop::rejectOverRate(const PendingRequest &request, absl::Duration retryAfter)
{
    const base::Reason reason { base::ReasonCode::Overloaded,
                                "the organisation's rate and burst are used up" };
    services_.metrics.countRefusal(request.caller.organisation, "rate", false);
    sendError(*request.exchange, request.id,
              errorResponseOf(reason, RunState::NotRun, std::max(retryAfter, absl::Seconds(1))));
}

void RequestLoop::admit(PendingRequest request)
{
    if (request.call) {
        admitModelCall(std::move(request));
        return;
    }
    const control::Route &route = *request.route;
    if (!route.idempotent) {
        add(actions_.start(request.exchange, request.id, request.caller, route));
        return;
    }
    add(std::make_unique<ServiceRequest>(services_, request.exchange, request.id, request.caller,
                                         route));
}

void RequestLoop::admitModelCall(PendingRequest request)
{
    const absl::Time now = services_.clock.now();
    decayDemand(now);
    const bool hasDeadline = request.call->deadline > absl::ZeroDuration();
    absl::Time deadline = absl::InfiniteFuture();
    if (hasDeadline)
        deadline = now + request.call->deadline;
    else if (request.call->urgent)
        deadline = now + services_.settings.limits.defaultDeadline;
    serving::RequestFacts facts
        = factsOf(*request.call, request.id, request.caller.organisation, deadline);
    const double tokensPerSecond = services_.endpoints.model(facts.model).prefillTokensPerSecond;
    if (tokensPerSecond > 0)
        facts.serviceTime = absl::Seconds(facts.promptTokens / tokensPerSecond);
    const double perSecond = 1 / absl::ToDoubleSeconds(DemandWindow);
    demand_.prefillPerSecond += facts.promptTokens * perSecond;
    demand_.decodePerSecond += facts.maxOutputTokens * perSecond;
    auto model = std::make_unique<ModelRequest>(services_, request.exchange, request.id,
                                                request.caller, std::move(*request.call), facts);
    ModelRequest *raw = model.get();
    const bool isRefused
        = services_.crashes.verdict(facts.bodyDigest, now) == serving::CrashVerdict::Refused;
    if (isRefused && !services_.crashes.mayTry(facts.bodyDigest, now)) {
        raw->fail(services_.crashes.reason(facts.bodyDigest), absl::ZeroDuration());
        return;
    }
    if (const std::optional<serving::Refusal> refusal = queue_.push(facts, now)) {
        raw->fail(refusal->reason, refusal->retryAfter);
        return;
    }
    if (isRefused)
        services_.crashes.noteTrial(facts.bodyDigest, now);
    modelRequests_[request.id] = raw;
    add(std::move(model));
    dispatch(now);
}

void RequestLoop::add(std::unique_ptr<Request> request)
{
    if (request == nullptr || request->isDone())
        return;
    byExchange_[request->exchange().get()] = request->id();
    const base::RequestId id = request->id();
    requests_[id] = std::move(request);
}

void RequestLoop::onRequestProgress(const std::shared_ptr<ports::CallerExchange> &exchange)
{
    const auto found = byExchange_.find(exchange.get());
    if (found == byExchange_.end())
        return;
    const auto request = requests_.find(found->second);
    if (request == requests_.end())
        return;
    if (!exchange->callerDisconnected()) {
        request->second->onCallerProgress();
        return;
    }
    queue_.remove(request->first, services_.clock.now());
    request->second->onCallerDisconnected();
}

void RequestLoop::setConfiguration(const control::Bundle &bundle)
{
    bundle_ = bundle;
    services_.burn.setConfiguration(bundle);
    authenticator_.load(bundle);
    services_.endpoints.setModels(bundle.models);
    services_.endpoints.setEndpoints(bundle.endpoints);
    std::vector<base::EndpointId> ids;
    for (const control::Endpoint &endpoint : bundle.endpoints)
        ids.push_back(endpoint.id);
    services_.ejection.setEndpoints(ids);
    for (const control::Organisation &organisation : bundle.organisations)
        queue_.setWeight(organisation.id, organisation.weight);
    const base::Reason withdrawn { base::ReasonCode::Unauthorized, "the key was withdrawn" };
    for (auto &[id, request] : requests_) {
        const bool open = request->caller().key.empty();
        if (open || containsKey(bundle, request->caller()))
            continue;
        queue_.remove(id, services_.clock.now());
        request->abort(withdrawn);
    }
    eraseDone();
}

void RequestLoop::onApplied()
{
    for (auto &[id, request] : requests_)
        request->onApplied();
}

void RequestLoop::decayDemand(absl::Time now)
{
    const double seconds = std::max(0.0, absl::ToDoubleSeconds(now - demandDecayedAt_));
    const double decay = std::exp(-seconds / absl::ToDoubleSeconds(DemandWindow));
    demand_.prefillPerSecond *= decay;
    demand_.decodePerSecond *= decay;
    demandDecayedAt_ = now;
}

TokenDemand RequestLoop::demand(absl::Time now)
{
    decayDemand(now);
    return demand_;
}

void RequestLoop::tick(absl::Time now)
{
    updateWeights(now);
    for (auto &[id, request] : requests_)
        request->onTick(now);
    dispatch(now);
    startProbes();
    eraseDone();
    services_.crashes.expire(now);
    crashListener_.onBodyReports(services_.crashes.takeReports());
    services_.metrics.setActiveRequests(requests_.size() - queue_.size(), queue_.size());
}

void RequestLoop::dispatch(absl::Time now)
{
    expireQueue(now);
    dispatchRetries(now);
    dispatchQueued(now);
}

ModelRequest *RequestLoop::modelRequest(const base::RequestId &id)
{
    const auto found = modelRequests_.find(id);
    return found == modelRequests_.end() ? nullptr : found->second;
}

void RequestLoop::expireQueue(absl::Time now)
{
    for (const serving::ExpiredRequest &expired : queue_.expire(now)) {
        if (ModelRequest *request = modelRequest(expired.request.id))
            request->fail(expired.refusal.reason, expired.refusal.retryAfter);
    }
}

void RequestLoop::dispatchRetries(absl::Time now)
{
    for (auto &[id, request] : modelRequests_) {
        if (request->isDone() || !request->hasStarted() || !request->needsEndpoint(now))
            continue;
        if (mustWaitForCopy(request->facts(), now))
            continue;
        serving::RouteQuery query(request->facts());
        query.excluded = request->failedEndpoints();
        serving::RouteChoice choice
            = services_.router.choose(query, services_.endpoints, now, services_.random());
        if (!choice.endpoint) {
            // No other endpoint is suitable: one that failed before may have recovered.
            query.excluded.clear();
            choice = services_.router.choose(query, services_.endpoints, now, services_.random());
        }
        if (choice.endpoint)
            request->startOn(*choice.endpoint, now);
        else if (now - request->waitingSince() > RetryTimeout)
            request->fail(choice.refusal.reason, choice.refusal.retryAfter);
    }
}

bool RequestLoop::mustWaitForCopy(const serving::RequestFacts &facts, absl::Time now) const
{
    // A body that was in flight during a crash runs one copy at a time, so that concurrent copies
    // cannot each crash an endpoint.
    return services_.crashes.verdict(facts.bodyDigest, now) == serving::CrashVerdict::Suspect
        && services_.crashes.copiesInFlight(facts.bodyDigest) > 0;
}

void RequestLoop::dispatchQueued(absl::Time now)
{
    std::optional<base::EndpointId> chosen;
    const auto canStart = [&](const serving::RequestFacts &facts) {
        if (mustWaitForCopy(facts, now))
            return false;
        const serving::RouteQuery query(facts);
        chosen
            = services_.router.choose(query, services_.endpoints, now, services_.random()).endpoint;
        return chosen.has_value();
    };
    while (const std::optional<serving::RequestFacts> facts = queue_.pop(now, canStart)) {
        ModelRequest *request = modelRequest(facts->id);
        if (request != nullptr && !request->isDone() && chosen)
            request->startOn(*chosen, now);
    }
}

void RequestLoop::startProbes()
{
    for (auto &[id, request] : modelRequests_) {
        const std::optional<base::EndpointId> endpoint = request->takePendingProbe();
        const serving::EndpointView *view
            = endpoint ? services_.endpoints.find(*endpoint) : nullptr;
        if (view != nullptr)
            prober_.probe(view->endpoint);
        else if (endpoint)
            request->onProbed(*endpoint, false);
    }
}

void RequestLoop::onProbed(const base::EndpointId &endpoint, ProbeResult result)
{
    const absl::Time now = services_.clock.now();
    if (result == ProbeResult::Refused)
        crashListener_.onCrash(services_.crashes.endpointCrashed(endpoint, now));
    for (auto &[id, request] : requests_)
        request->onProbed(endpoint, result == ProbeResult::Alive);
}

void RequestLoop::updateWeights(absl::Time now)
{
    if (now < nextWeightUpdateAt_)
        return;
    nextWeightUpdateAt_ = now + WeightUpdateInterval;
    for (const auto &[id, view] : services_.endpoints.all())
        services_.endpoints.setWeight(id, services_.ejection.weight(id, now));
}

void RequestLoop::eraseDone()
{
    for (auto entry = requests_.begin(); entry != requests_.end();) {
        const auto current = entry++;
        if (!current->second->isDone())
            continue;
        byExchange_.erase(current->second->exchange().get());
        modelRequests_.erase(current->first);
        requests_.erase(current);
    }
}

} // namespace zinniadoor::daemon
