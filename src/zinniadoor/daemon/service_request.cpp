#include "zinniadoor/daemon/service_request.hpp"

#include <array>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

namespace zinniadoor::daemon {

namespace {

constexpr absl::Duration ServiceTimeout = absl::Seconds(60);
constexpr std::uint32_t ServiceRequestTokens = 1;

// Headers that apply to a single connection, or that the HTTP library sets itself.
constexpr std::array<const char *, 11> HopByHopHeaders { "connection",
                                                         "keep-alive",
                                                         "proxy-connection",
                                                         "transfer-encoding",
                                                         "te",
                                                         "trailer",
                                                         "upgrade",
                                                         "host",
                                                         "content-length",
                                                         "expect",
                                                         "date" };

bool isHopByHopHeader(const std::string &name)
{
    for (const char *hop : HopByHopHeaders) {
        if (absl::EqualsIgnoreCase(name, hop))
            return true;
    }
    return false;
}

bool isZinniadoorHeader(const std::string &name)
{
    return absl::StartsWithIgnoreCase(name, "zinniadoor-");
}

bool isCredentialHeader(const std::string &name)
{
    return absl::EqualsIgnoreCase(name, "authorization")
        || absl::EqualsIgnoreCase(name, "proxy-authorization")
        || absl::EqualsIgnoreCase(name, "cookie") || absl::EqualsIgnoreCase(name, "x-api-key");
}

} // namespace

std::vector<ports::HttpHeader> headersForService(const ports::CallerRequest &request,
                                                 const base::RequestId &id)
{
    std::vector<ports::HttpHeader> headers;
    for (const ports::HttpHeader &header : request.headers) {
        const bool dropped = isHopByHopHeader(header.name) || isZinniadoorHeader(header.name)
            || isCredentialHeader(header.name);
        if (!dropped)
            headers.push_back(header);
    }
    headers.push_back({ "Zinniadoor-Request", id.str() });
    return headers;
}

std::vector<ports::HttpHeader> headersForCaller(const std::vector<ports::HttpHeader> &headers,
                                                const base::RequestId &id)
{
    std::vector<ports::HttpHeader> result;
    for (const ports::HttpHeader &header : headers) {
        if (!isHopByHopHeader(header.name) && !isZinniadoorHeader(header.name))
            result.push_back(header);
    }
    result.push_back({ "Zinniadoor-Request", id.str() });
    return result;
}

ports::EndpointRequest serviceCall(const ports::CallerRequest &request,
                                   const control::Endpoint &endpoint, const base::RequestId &id)
{
    ports::EndpointRequest call;
    call.method = request.method;
    call.url = absl::StrCat("http://", endpoint.address, request.path,
                            request.query.empty() ? "" : "?", request.query);
    call.headers = headersForService(request, id);
    call.body = request.body;
    call.totalTimeout = ServiceTimeout;
    call.silenceTimeout = ServiceTimeout;
    // On a pooled connection that has died, a silent call is indistinguishable from a slow one, and
    // an action that was never received from one that was executed.
    call.freshConnection = true;
    return call;
}

ServiceRequest::ServiceRequest(RequestServices &services,
                               std::shared_ptr<ports::CallerExchange> exchange, base::RequestId id,
                               Caller caller, control::Route route)
    : Request(services, std::move(exchange), id, std::move(caller))
    , route_(std::move(route))
{
    setRouteName(route_.id.str());
    facts_.id = std::move(id);
    facts_.organisation = this->caller().organisation;
    facts_.promptTokens = ServiceRequestTokens;
    start(arrivedAt());
}

ServiceRequest::~ServiceRequest()
{
    if (running_)
        services().calls.cancel(*running_);
}

void ServiceRequest::start(absl::Time now)
{
    serving::RouteQuery query(facts_);
    query.excluded = failedEndpoints_;
    query.allowedEndpoints = route_.endpoints;
    const serving::RouteChoice choice
        = services().router.choose(query, services().endpoints, now, services().random());
    const serving::EndpointView *view
        = choice.endpoint ? services().endpoints.find(*choice.endpoint) : nullptr;
    if (view == nullptr) {
        endWithError(choice.refusal.reason, choice.refusal.retryAfter);
        return;
    }
    const base::Outcome<CallToken> call
        = services().calls.start(serviceCall(exchange()->request(), view->endpoint, id()), *this);
    if (!call) {
        endWithError(call.lastReason(), absl::Seconds(1));
        return;
    }
    if (attempts_ == 0)
        services().retries.noteCall();
    else
        services().metrics.countRetry();
    ++attempts_;
    sentAt_ = now;
    endpoint_ = choice.endpoint;
    running_ = *call;
    services().endpoints.noteSent(*endpoint_, facts_, now);
}

void ServiceRequest::onCallUpdate(CallToken call, const CallUpdate &update)
{
    if (!running_ || *running_ != call)
        return;
    if (update.head)
        onHead(*update.head);
    if (!update.bytes.empty())
        onBytes(update.bytes);
    if (update.end)
        onCallEnd(*update.end);
}

void ServiceRequest::onHead(const ResponseHead &head)
{
    streamStarted_ = true;
    status_ = head.status;
    const absl::Time now = services().clock.now();
    headAt_ = now;
    services().ejection.noteSuccess(*endpoint_, now - sentAt_, now);
    exchange()->beginStream(head.status, headersForCaller(head.headers, id()));
}

void ServiceRequest::onBytes(const std::string &bytes)
{
    exchange()->write(bytes);
    const std::size_t limit = services().settings.limits.pendingBytesPerStream;
    if (exchange()->pendingBytes() > limit && running_) {
        deliveryPaused_ = true;
        services().calls.pauseDelivery(*running_);
    }
}

void ServiceRequest::onCallEnd(const ports::EndpointCallEnd &end)
{
    running_.reset();
    services().metrics.countEndpointCall(*endpoint_, end.complete);
    if (!end.complete) {
        onCallFailed(end.reason, end.mayHaveRun);
        return;
    }
    releaseEndpoint();
    if (isServerError(status_))
        countFailure(base::ReasonCode::Unavailable);
    else
        countCompleted(headAt_);
    exchange()->endStream(true);
    markDone();
}

void ServiceRequest::onCallFailed(const base::Reason &reason, bool mayHaveRun)
{
    const absl::Time now = services().clock.now();
    mayHaveRun_ = mayHaveRun_ || mayHaveRun;
    services().ejection.noteFailure(*endpoint_, now);
    failedEndpoints_.push_back(*endpoint_);
    releaseEndpoint();
    serving::FailedCall failed;
    failed.attempts = attempts_;
    failed.mayHaveRun = mayHaveRun;
    failed.idempotent = route_.idempotent;
    const serving::RetryDecision decision
        = services().retries.decide(failed, now, services().random());
    if (streamStarted_ || !decision.retry) {
        endWithError(reason, absl::Seconds(1));
        return;
    }
    notBefore_ = now + decision.backoff;
}

void ServiceRequest::endWithError(const base::Reason &reason, absl::Duration retryAfter)
{
    if (streamStarted_) {
        countFailure(reason.code);
        exchange()->endStream(false);
        markDone();
        return;
    }
    const RunState run = mayHaveRun_ ? RunState::Unknown : RunState::NotRun;
    refuse(errorResponseOf(reason, run, retryAfter));
}

void ServiceRequest::releaseEndpoint()
{
    if (endpoint_)
        services().endpoints.noteFinished(id(), services().clock.now());
    endpoint_.reset();
}

void ServiceRequest::onCallerProgress()
{
    const std::size_t limit = services().settings.limits.pendingBytesPerStream;
    if (!deliveryPaused_ || exchange()->pendingBytes() > limit / 2 || !running_)
        return;
    deliveryPaused_ = false;
    services().calls.resumeDelivery(*running_);
}

void ServiceRequest::onCallerDisconnected()
{
    if (isDone())
        return;
    if (running_)
        services().calls.cancel(*running_);
    running_.reset();
    releaseEndpoint();
    if (streamStarted_)
        exchange()->endStream(false);
    markDone();
}

void ServiceRequest::abort(const base::Reason &reason)
{
    if (isDone())
        return;
    mayHaveRun_ = mayHaveRun_ || running_.has_value();
    if (running_)
        services().calls.cancel(*running_);
    running_.reset();
    releaseEndpoint();
    endWithError(reason, absl::ZeroDuration());
}

void ServiceRequest::onTick(absl::Time now)
{
    const bool isAwaitingRetry = !isDone() && !running_ && attempts_ > 0;
    if (isAwaitingRetry && now >= notBefore_)
        start(now);
}

void ServiceRequest::onProbed(const base::EndpointId &, bool) { }

} // namespace zinniadoor::daemon
