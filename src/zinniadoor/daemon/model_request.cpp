#include "zinniadoor/daemon/model_request.hpp"

#include <utility>

#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"

namespace zinniadoor::daemon {

namespace {

using Json = nlohmann::json;

constexpr int StatusOk = 200;
constexpr absl::Duration SilenceBeforeFirstToken = absl::Seconds(2);

/// A taken request may wait in the engine's queue; beyond this it is sent elsewhere.
constexpr absl::Duration LongestQuietStart = absl::Seconds(15);
constexpr absl::Duration TotalTimeout = absl::Minutes(30);
constexpr std::size_t MostErrorBytes = 2048;

std::string chatAnswer(const ModelCall &call, const base::RequestId &id, const std::string &text,
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
    // The engine itself refused: it is changing its role, full, or doesn't serve the model.
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

std::optional<base::EndpointId> ModelRequest::takeProbeWish()
{
    return std::exchange(probeWish_, std::nullopt);
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
        endWithFault(lastReason_, absl::Seconds(1));
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
        const std::int64_t left
            = std::max<std::int64_t>(1, absl::ToInt64Milliseconds(facts_.deadline - now));
        request.headers.push_back({ "Zinniadoor-Deadline-Ms", absl::StrCat(left) });
    }
    // Silence is judged by onTick, which knows whether a token is due.
    request.silenceTimeout = TotalTimeout;
    request.totalTimeout = TotalTimeout;
    request.freshConnection = freshConnection_;
    return request;
}

void ModelRequest::onCallNews(CallToken call, const CallNews &news)
{
    if (!running_ || *running_ != call)
        return;
    if (news.head)
        onHead(*news.head);
    if (!news.bytes.empty())
        onBytes(news.bytes);
    if (news.end && running_)
        onCallEnd(*news.end);
}

void ModelRequest::noteTaken()
{
    if (!std::exchange(taken_, true))
        services().crashes.noteAccepted(facts_.bodyDigest, *endpoint_);
}

void ModelRequest::onHead(const ResponseHead &head)
{
    engineStatus_ = head.status;
    noteTaken();
    lastByteAt_ = services().clock.now();
}

void ModelRequest::onBytes(const std::string &bytes)
{
    lastByteAt_ = services().clock.now();
    if (engineStatus_ != StatusOk) {
        engineError_.append(bytes, 0,
                            MostErrorBytes - std::min(MostErrorBytes, engineError_.size()));
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
        leaveEndpoint();
        settle();
        return;
    }
    const bool slowCaller
        = exchange()->pendingBytes() > services().settings.limits.pendingBytesPerStream;
    if (slowCaller && running_) {
        held_ = true;
        services().calls.hold(*running_);
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
        wholeText_ += item.text;
        return;
    }
    beginStreamOnce();
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
    const base::Status whole = check_.end();
    onCallFailed(whole ? end.reason : whole.lastReason(), true, false);
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
    failedOn_.push_back(endpoint);
    // What never left this instance cannot have crashed the endpoint, whatever the probe shows.
    if (mayHaveRun)
        noteTaken();
    if (connectionLost) {
        // Whether the endpoint crashed decides if this body may run again, so ask first.
        state_ = State::InDoubt;
        probeWish_ = endpoint;
        return;
    }
    leaveEndpoint();
    decideAfterFailure(now);
}

void ModelRequest::onProbed(const base::EndpointId &endpoint, bool alive)
{
    if (endpoint_ != endpoint)
        return;
    const absl::Time now = services().clock.now();
    if (state_ == State::InDoubt) {
        leaveEndpoint();
        decideAfterFailure(now);
        return;
    }
    if (state_ != State::Running)
        return;
    lastByteAt_ = now;
    const bool taken = engineStatus_ == StatusOk;
    const bool mayBeQueued = alive && taken && now - startedAt_ < LongestQuietStart;
    if (mayBeQueued)
        return;
    // An engine answers its head as soon as it takes a request: if it lives and the head did not
    // come, the connection is dead.
    stopCall();
    lastReason_
        = { base::ReasonCode::Unavailable,
            alive ? "the connection to the endpoint went silent" : "the endpoint went silent" };
    mayHaveRun_ = true;
    lastMayHaveRun_ = true;
    if (!alive)
        failedOn_.push_back(endpoint);
    freshConnection_ = true;
    leaveEndpoint();
    decideAfterFailure(now);
}

void ModelRequest::decideAfterFailure(absl::Time now)
{
    if (services().crashes.verdict(facts_.bodyDigest, now) == serving::CrashVerdict::Refused) {
        endWithFault(services().crashes.reason(facts_.bodyDigest), absl::ZeroDuration());
        return;
    }
    // A stream that gets on is worth going on with; the budget still bounds all retries.
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
        endWithFault(lastReason_, absl::Seconds(1));
        return;
    }
    notBefore_ = now + decision.backoff;
    facts_.hasStarted = check_.nextOffset() > 0;
    waitingSince_ = now;
    state_ = State::Waiting;
}

void ModelRequest::settle()
{
    state_ = State::Settling;
    const UsedTokens used { caller().organisation,
                            check_.usage() ? check_.usage()->promptTokens : 0,
                            check_.nextOffset() };
    services().usage.count(used, [this, lifetime = std::weak_ptr<int>(lifetime_)] {
        if (!lifetime.expired())
            sendRest();
    });
}

void ModelRequest::sendRest()
{
    if (state_ != State::Settling)
        return;
    state_ = State::Ended;
    const absl::Time now = services().clock.now();
    AnswerFigures figures;
    figures.organisation = caller().organisation;
    figures.route = routeNameOf(call_.kind);
    figures.firstToken = firstTokenAt_ - arrivedAt();
    figures.total = now - arrivedAt();
    figures.promptTokens = check_.usage() ? check_.usage()->promptTokens : 0;
    figures.outputTokens = check_.nextOffset();
    figures.inTime = firstTokenAt_ <= facts_.deadline;
    const serving::EndpointView *view = services().endpoints.find(*endpoint_);
    figures.reclaimable = view != nullptr && view->endpoint.reclaimable;
    services().metrics.countAnswer(figures);
    countInTime(firstTokenAt_);
    services().metrics.countEndpointCall(*endpoint_, true);
    if (call_.stream) {
        beginStreamOnce();
        exchange()->write(finalBytes_);
        exchange()->endStream(true);
    } else {
        respondWhole();
    }
    markDone();
}

void ModelRequest::respondWhole()
{
    exchange()->respond(
        StatusOk, { { "Content-Type", "application/json" }, { "Zinniadoor-Request", id().str() } },
        chatAnswer(call_, id(), wholeText_, check_));
}

void ModelRequest::beginStreamOnce()
{
    if (streamBegun_)
        return;
    streamBegun_ = true;
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

void ModelRequest::leaveEndpoint()
{
    if (!endpoint_)
        return;
    services().crashes.end(facts_.bodyDigest, *endpoint_, std::exchange(taken_, false));
    services().endpoints.noteFinished(id(), services().clock.now());
}

void ModelRequest::endWithFault(const base::Reason &reason, absl::Duration retryAfter)
{
    state_ = State::Ended;
    if (streamBegun_) {
        exchange()->write(absl::StrCat("data: ", errorBody(reason), "\n\n"));
        exchange()->endStream(false);
        services().metrics.countRefusal(caller().organisation, nameOf(reason.code), true);
        countFault(reason.code);
        countPartialUse();
        markDone();
        return;
    }
    countPartialUse();
    const RunState run = mayHaveRun_ ? RunState::Unknown : RunState::NotRun;
    refuse(errorAnswerOf(reason, run, retryAfter));
}

void ModelRequest::giveUp(const base::Reason &reason, absl::Duration retryAfter)
{
    endWithFault(reason, retryAfter);
}

void ModelRequest::countPartialUse()
{
    // What the caller was sent has been used; what never left this instance is not charged.
    if (!call_.stream || check_.nextOffset() == 0)
        return;
    services().usage.count({ caller().organisation, facts_.promptTokens, check_.nextOffset() },
                           [] {});
}

void ModelRequest::onCallerProgress()
{
    const bool slowCaller
        = exchange()->pendingBytes() > services().settings.limits.pendingBytesPerStream / 2;
    if (!held_ || slowCaller || !running_)
        return;
    held_ = false;
    services().calls.release(*running_);
}

void ModelRequest::onCallerGone()
{
    if (state_ == State::Ended)
        return;
    const bool counted = state_ == State::Settling;
    state_ = State::Ended;
    stopCall();
    leaveEndpoint();
    if (!counted)
        countPartialUse();
    if (streamBegun_)
        exchange()->endStream(false);
    markDone();
}

void ModelRequest::cut(const base::Reason &reason)
{
    if (state_ == State::Ended)
        return;
    stopCall();
    leaveEndpoint();
    endWithFault(reason, absl::ZeroDuration());
}

void ModelRequest::onTick(absl::Time now)
{
    const bool beforeFirstToken = firstTokenAt_ == absl::InfinitePast();
    if (state_ == State::Running && beforeFirstToken && now >= facts_.deadline) {
        stopCall();
        leaveEndpoint();
        mayHaveRun_ = true;
        endWithFault({ base::ReasonCode::Timeout, "no first token before the deadline" },
                     absl::Seconds(1));
        return;
    }
    if (state_ != State::Running || held_)
        return;
    const absl::Duration silence = now - lastByteAt_;
    const absl::Duration limit
        = beforeFirstToken ? SilenceBeforeFirstToken : services().settings.limits.streamSilence;
    if (silence < limit)
        return;
    if (beforeFirstToken) {
        // A long queue or prefill is silent as well: look over a new connection first.
        probeWish_ = endpoint_;
        lastByteAt_ = now;
        return;
    }
    onProbed(*endpoint_, false);
}

} // namespace zinniadoor::daemon
