#include "zinniadoor/daemon/model_request.hpp"

#include <utility>

#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"

namespace zinniadoor::daemon {

namespace {

using Json = nlohmann::json;

constexpr int StatusOk = 200;
constexpr absl::Duration FirstTokenSilenceTimeout = absl::Seconds(2);

/// An accepted request may be silent while it waits in the engine's queue. After this time it is
/// sent to another engine.
constexpr absl::Duration MaxSilentStart = absl::Seconds(15);
constexpr absl::Duration TotalTimeout = absl::Minutes(30);
constexpr std::size_t MaxErrorBytes = 2048;

std::string answerBody(const ModelCall &call, const base::RequestId &id, const std::string &text,
                       const serving::StreamCheck &check)
{
    const bool chat = call.kind == ModelCallKind::Chat;
    Json choice = { { "index", 0 }, { "finish_reason", check.finishReason() } };
    if (chat)
        choice["message"] = { { "role", "assistant" }, { "content", text } };
    else
        choice["text"] = text;
    Json answer = { { "id", id.str() },
                    { "object", chat ? "chat.completion" : "text_completion" },
                    { "model", call.model.str() },
                    { "choices", Json::array({ choice }) } };
    if (check.usage()) {
        const std::uint64_t prompt = check.usage()->promptTokens;
        answer["usage"] = { { "prompt_tokens", prompt },
                            { "completion_tokens", check.nextOffset() },
                            { "total_tokens", prompt + check.nextOffset() } };
    }
    return answer.dump(-1, ' ', false, Json::error_handler_t::replace);
}

bool meansNotRun(int engineStatus)
{
    // The engine rejected the request: it is changing its role, full, or does not serve the model.
    return engineStatus == 503 || engineStatus == 429 || engineStatus == 404;
}

} // namespace

serving::RequestFacts factsOf(const ModelCall &call, const base::RequestId &id,
                              const base::OrganisationId &organisation, absl::Time deadline)
{
    serving::RequestFacts facts;
    facts.id = id;
    facts.organisation = organisation;
    facts.model = call.model;
    facts.urgency = call.urgent ? serving::Urgency::Urgent : serving::Urgency::Deferable;
    facts.promptTokens = serving::estimateTokens(call.promptText);
    facts.maxOutputTokens = call.maxTokens;
    facts.deadline = deadline;
    facts.prefixes = serving::prefixDigests(call.promptText);
    facts.bodyDigest = control::bundleDigest(call.engineBody);
    return facts;
}

ModelRequest::ModelRequest(RequestServices &services,
                           std::shared_ptr<ports::CallerExchange> exchange,
                           const base::RequestId &id, Caller caller, ModelCall call,
                           serving::RequestFacts facts)
    : Request(services, std::move(exchange), id, std::move(caller))
    , call_(std::move(call))
    , facts_(std::move(facts))
    , check_(id)
    , waitingSince_(arrivedAt())
{
    setRouteName(routeNameOf(call_.kind));
}

ModelRequest::~ModelRequest()
{
    stopCall();
}

bool ModelRequest::needsEndpoint(absl::Time now) const
{
    return state_ == State::Waiting && now >= notBefore_;
}

std::optional<base::EndpointId> ModelRequest::takePendingProbe()
{
    return std::exchange(pendingProbe_, std::nullopt);
}

void ModelRequest::startOn(const base::EndpointId &endpoint, absl::Time now)
{
    const serving::EndpointView *view = services().endpoints.find(endpoint);
    if (view == nullptr)
        return;
    base::Outcome<CallToken> call
        = services().calls.start(engineRequest(view->endpoint, now), *this);
    if (!call) {
        lastReason_ = call.lastReason();
        endWithError(lastReason_, absl::Seconds(1));
        return;
    }
    if (attempts_ == 0)
        services().retries.noteCall();
    else
        services().metrics.countRetry();
    ++attempts_;
    offsetAtStart_ = check_.nextOffset();
    running_ = *call;
    endpoint_ = endpoint;
    state_ = State::Running;
    engineStatus_ = 0;
    engineError_.clear();
    startedAt_ = now;
    lastByteAt_ = now;
    check_.resume();
    services().endpoints.noteSent(endpoint, facts_, now);
    services().crashes.begin(facts_.bodyDigest, endpoint);
}

ports::EndpointRequest ModelRequest::engineRequest(const control::Endpoint &endpoint,
                                                   absl::Time now) const
{
    ports::EndpointRequest request;
    request.url = absl::StrCat("http://", endpoint.address, pathOf(call_.kind));
    request.body = call_.engineBody;
    request.headers = { { "Content-Type", "application/json" },
                        { "Zinniadoor-Request", id().str() },
                        { "Zinniadoor-Priority", serving::nameOf(facts_.urgency) } };
    if (check_.nextOffset() > 0)
        request.headers.push_back(
            { "Zinniadoor-Resume-Offset", absl::StrCat(check_.nextOffset()) });
    if (facts_.deadline != absl::InfiniteFuture()) {
        const std::int64_t remainingMs
            = std::max<std::int64_t>(1, absl::ToInt64Milliseconds(facts_.deadline - now));
        request.headers.push_back({ "Zinniadoor-Deadline-Ms", absl::StrCat(remainingMs) });
    }
    // onTick detects silence; its limit depends on whether the first token has arrived.
    request.silenceTimeout = TotalTimeout;
    request.totalTimeout = TotalTimeout;
    request.freshConnection = freshConnection_;
    return request;
}

void ModelRequest::onCallUpdate(CallToken call, const CallUpdate &update)
{
    if (!running_ || *running_ != call)
        return;
    if (update.head)
        onHead(*update.head);
    if (!update.bytes.empty())
        onBytes(update.bytes);
    if (update.end && running_)
        onCallEnd(*update.end);
}

void ModelRequest::noteAccepted()
{
    if (!std::exchange(accepted_, true))
        services().crashes.noteAccepted(facts_.bodyDigest, *endpoint_);
}

void ModelRequest::onHead(const ResponseHead &head)
{
    engineStatus_ = head.status;
    noteAccepted();
    lastByteAt_ = services().clock.now();
}

void ModelRequest::onBytes(const std::string &bytes)
{
    lastByteAt_ = services().clock.now();
    if (engineStatus_ != StatusOk) {
        engineError_.append(bytes, 0, MaxErrorBytes - std::min(MaxErrorBytes, engineError_.size()));
        return;
    }
    std::vector<serving::StreamItem> items;
    const base::Status status = check_.feed(bytes, items);
    for (const serving::StreamItem &item : items)
        onItem(item);
    if (!status) {
        stopCall();
        onCallFailed(status.lastReason(), true, false);
        return;
    }
    if (check_.isDone()) {
        stopCall();
        releaseEndpoint();
        services().crashes.noteAnswered(facts_.bodyDigest, services().clock.now());
        recordUsage();
        return;
    }
    const bool callerIsSlow
        = exchange()->pendingBytes() > services().settings.limits.pendingBytesPerStream;
    if (callerIsSlow && running_) {
        deliveryPaused_ = true;
        services().calls.pauseDelivery(*running_);
    }
}

void ModelRequest::onItem(const serving::StreamItem &item)
{
    if (item.kind != serving::StreamItemKind::Token) {
        finalBytes_ += item.callerBytes;
        return;
    }
    if (firstTokenAt_ == absl::InfinitePast())
        onFirstToken();
    if (!call_.stream) {
        fullText_ += item.text;
        return;
    }
    ensureStreamStarted();
    exchange()->write(item.callerBytes);
}

void ModelRequest::onFirstToken()
{
    const absl::Time now = services().clock.now();
    firstTokenAt_ = now;
    services().endpoints.noteFirstToken(id(), now);
    services().ejection.noteSuccess(*endpoint_, now - arrivedAt(), now);
}

void ModelRequest::onCallEnd(const ports::EndpointCallEnd &end)
{
    running_.reset();
    if (engineStatus_ != 0 && engineStatus_ != StatusOk) {
        const base::Reason reason { base::ReasonCode::Unavailable,
                                    absl::StrCat("the endpoint answered ", engineStatus_) };
        onCallFailed(reason, !meansNotRun(engineStatus_), false);
        return;
    }
    if (!end.complete) {
        onCallFailed(end.reason, end.mayHaveRun, true);
        return;
    }
    const base::Status streamEnd = check_.end();
    onCallFailed(streamEnd ? end.reason : streamEnd.lastReason(), true, false);
}

void ModelRequest::onCallFailed(const base::Reason &reason, bool mayHaveRun, bool connectionLost)
{
    const absl::Time now = services().clock.now();
    const base::EndpointId endpoint = *endpoint_;
    lastReason_ = reason;
    lastMayHaveRun_ = mayHaveRun;
    mayHaveRun_ = mayHaveRun_ || mayHaveRun;
    services().ejection.noteFailure(endpoint, now);
    services().metrics.countEndpointCall(endpoint, false);
    failedEndpoints_.push_back(endpoint);
    // A body that was never sent cannot have crashed the endpoint, whatever the probe shows.
    if (mayHaveRun)
        noteAccepted();
    if (connectionLost) {
        // Probe first: whether the endpoint crashed decides if this body may run again.
        state_ = State::AwaitingProbe;
        pendingProbe_ = endpoint;
        return;
    }
    releaseEndpoint();
    decideAfterFailure(now);
}

void ModelRequest::onProbed(const base::EndpointId &endpoint, bool alive)
{
    if (endpoint_ != endpoint)
        return;
    const absl::Time now = services().clock.now();
    if (state_ == State::AwaitingProbe) {
        releaseEndpoint();
        decideAfterFailure(now);
        return;
    }
    if (state_ != State::Running)
        return;
    lastByteAt_ = now;
    const bool accepted = engineStatus_ == StatusOk;
    const bool mayBeQueued = alive && accepted && now - startedAt_ < MaxSilentStart;
    if (mayBeQueued)
        return;
    // An engine sends the response head as soon as it accepts a request. If the probe succeeded and
    // no head has arrived, the connection is dead.
    stopCall();
    lastReason_
        = { base::ReasonCode::Unavailable,
            alive ? "the connection to the endpoint went silent" : "the endpoint went silent" };
    mayHaveRun_ = true;
    lastMayHaveRun_ = true;
    if (!alive)
        failedEndpoints_.push_back(endpoint);
    freshConnection_ = true;
    releaseEndpoint();
    decideAfterFailure(now);
}

void ModelRequest::decideAfterFailure(absl::Time now)
{
    if (services().crashes.verdict(facts_.bodyDigest, now) == serving::CrashVerdict::Refused) {
        endWithError(services().crashes.reason(facts_.bodyDigest), absl::ZeroDuration());
        return;
    }
    // Progress resets the attempt count, since a stream that advances is worth resuming; the retry
    // budget still limits all retries.
    const bool progressed = check_.nextOffset() > offsetAtStart_;
    attemptsWithoutProgress_ = progressed ? 1 : attemptsWithoutProgress_ + 1;
    serving::FailedCall failed;
    failed.attempts = attemptsWithoutProgress_;
    failed.mayHaveRun = lastMayHaveRun_;
    failed.idempotent = true;
    failed.hasStarted = check_.nextOffset() > 0;
    failed.serviceTime = facts_.serviceTime;
    if (firstTokenAt_ == absl::InfinitePast())
        failed.deadline = facts_.deadline;
    const serving::RetryDecision decision
        = services().retries.decide(failed, now, services().random());
    if (!decision.retry) {
        endWithError(lastReason_, absl::Seconds(1));
        return;
    }
    notBefore_ = now + decision.backoff;
    facts_.hasStarted = check_.nextOffset() > 0;
    waitingSince_ = now;
    state_ = State::Waiting;
}

void ModelRequest::recordUsage()
{
    state_ = State::RecordingUsage;
    const TokenUsage used { caller().organisation,
                            check_.usage() ? check_.usage()->promptTokens : 0,
                            check_.nextOffset() };
    services().usage.count(used, [this, lifetime = std::weak_ptr<int>(lifetime_)] {
        if (!lifetime.expired())
            finishAnswer();
    });
}

void ModelRequest::finishAnswer()
{
    if (state_ != State::RecordingUsage)
        return;
    state_ = State::Ended;
    AnswerStats stats;
    stats.organisation = caller().organisation;
    stats.route = routeNameOf(call_.kind);
    stats.firstToken = firstTokenAt_ - arrivedAt();
    stats.promptTokens = check_.usage() ? check_.usage()->promptTokens : 0;
    stats.outputTokens = check_.nextOffset();
    stats.inTime = firstTokenAt_ <= facts_.deadline;
    const serving::EndpointView *view = services().endpoints.find(*endpoint_);
    stats.reclaimable = view != nullptr && view->endpoint.reclaimable;
    services().metrics.countAnswer(stats);
    countCompleted(firstTokenAt_);
    services().metrics.countEndpointCall(*endpoint_, true);
    if (call_.stream) {
        ensureStreamStarted();
        exchange()->write(finalBytes_);
        exchange()->endStream(true);
    } else {
        respondFull();
    }
    markDone();
}

void ModelRequest::respondFull()
{
    exchange()->respond(
        StatusOk, { { "Content-Type", "application/json" }, { "Zinniadoor-Request", id().str() } },
        answerBody(call_, id(), fullText_, check_));
}

void ModelRequest::ensureStreamStarted()
{
    if (streamStarted_)
        return;
    streamStarted_ = true;
    exchange()->beginStream(StatusOk,
                            { { "Content-Type", "text/event-stream" },
                              { "Cache-Control", "no-store" },
                              { "Zinniadoor-Request", id().str() } });
}

void ModelRequest::stopCall()
{
    if (running_)
        services().calls.cancel(*running_);
    running_.reset();
}

void ModelRequest::releaseEndpoint()
{
    if (!endpoint_)
        return;
    services().crashes.end(facts_.bodyDigest, *endpoint_, std::exchange(accepted_, false));
    services().endpoints.noteFinished(id(), services().clock.now());
}

void ModelRequest::endWithError(const base::Reason &reason, absl::Duration retryAfter)
{
    state_ = State::Ended;
    if (streamStarted_) {
        exchange()->write(absl::StrCat("data: ", errorBody(reason), "\n\n"));
        exchange()->endStream(false);
        services().metrics.countRefusal(caller().organisation, nameOf(reason.code), true);
        countFailure(reason.code);
        countPartialUsage();
        markDone();
        return;
    }
    countPartialUsage();
    const RunState run = mayHaveRun_ ? RunState::Unknown : RunState::NotRun;
    refuse(errorResponseOf(reason, run, retryAfter));
}

void ModelRequest::fail(const base::Reason &reason, absl::Duration retryAfter)
{
    endWithError(reason, retryAfter);
}

void ModelRequest::countPartialUsage()
{
    // Tokens sent to the caller are charged; tokens that were never sent are not.
    if (!call_.stream || check_.nextOffset() == 0)
        return;
    services().usage.count({ caller().organisation, facts_.promptTokens, check_.nextOffset() },
                           [] {});
}

void ModelRequest::onCallerProgress()
{
    const bool callerIsSlow
        = exchange()->pendingBytes() > services().settings.limits.pendingBytesPerStream / 2;
    if (!deliveryPaused_ || callerIsSlow || !running_)
        return;
    deliveryPaused_ = false;
    services().calls.resumeDelivery(*running_);
}

void ModelRequest::onCallerDisconnected()
{
    if (state_ == State::Ended)
        return;
    const bool usageRecorded = state_ == State::RecordingUsage;
    state_ = State::Ended;
    stopCall();
    releaseEndpoint();
    if (!usageRecorded)
        countPartialUsage();
    if (streamStarted_)
        exchange()->endStream(false);
    markDone();
}

void ModelRequest::abort(const base::Reason &reason)
{
    if (state_ == State::Ended)
        return;
    stopCall();
    releaseEndpoint();
    endWithError(reason, absl::ZeroDuration());
}

void ModelRequest::onTick(absl::Time now)
{
    const bool beforeFirstToken = firstTokenAt_ == absl::InfinitePast();
    if (state_ == State::Running && beforeFirstToken && now >= facts_.deadline) {
        stopCall();
        releaseEndpoint();
        mayHaveRun_ = true;
        endWithError({ base::ReasonCode::Timeout, "no first token before the deadline" },
                     absl::Seconds(1));
        return;
    }
    if (state_ != State::Running || deliveryPaused_)
        return;
    const absl::Duration silence = now - lastByteAt_;
    const absl::Duration limit
        = beforeFirstToken ? FirstTokenSilenceTimeout : services().settings.limits.streamSilence;
    if (silence < limit)
        return;
    if (beforeFirstToken) {
        // A long queue or prefill is silent as well: probe over a new connection first.
        pendingProbe_ = endpoint_;
        lastByteAt_ = now;
        return;
    }
    onProbed(*endpoint_, false);
}

} // namespace zinniadoor::daemon
