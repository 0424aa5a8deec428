#include "zinniadoor/daemon/action_request.hpp"

#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

#include "zinniadoor/daemon/service_request.hpp"

namespace zinniadoor::daemon {

namespace {

constexpr std::size_t MaxIdempotencyKeyBytes = 255;
constexpr std::size_t MaxAnswerBytes = 4UL * 1024 * 1024;
constexpr int StatusUnprocessable = 422;
constexpr absl::Duration ActionRetryAfter = absl::Seconds(1);

/// The service's response is sent after this time even if its record is not in the log yet.
constexpr absl::Duration RecordTimeout = absl::Seconds(5);

std::string bodyDigestOf(const ports::CallerRequest &request)
{
    return control::bundleDigest(
        absl::StrCat(request.method, "\n", request.path, "\n", request.query, "\n", request.body));
}

std::string contentTypeOf(const ResponseHead &head)
{
    for (const ports::HttpHeader &header : head.headers) {
        if (absl::EqualsIgnoreCase(header.name, "content-type"))
            return header.value;
    }
    return {};
}

} // namespace

ActionRequest::ActionRequest(RequestServices &services, ActionServices &actions,
                             std::shared_ptr<ports::CallerExchange> exchange, base::RequestId id,
                             Caller caller, control::Route route)
    : Request(services, std::move(exchange), std::move(id), std::move(caller))
    , actions_(actions)
    , route_(std::move(route))
{
    setRouteName(route_.id.str());
    facts_.id = this->id();
    facts_.organisation = this->caller().organisation;
    submitClaim();
}

ActionRequest::~ActionRequest()
{
    if (running_)
        services().calls.cancel(*running_);
}

void ActionRequest::submitClaim()
{
    const ports::CallerRequest &request = exchange()->request();
    const std::string *key = request.header("Idempotency-Key");
    if (key == nullptr || key->empty() || key->size() > MaxIdempotencyKeyBytes) {
        endWithError(errorResponseOf({ base::ReasonCode::InvalidArgument,
                                       "Idempotency-Key: is missing or not 1 to 255 bytes long" },
                                     RunState::NotRun));
        return;
    }
    call_.key = { caller().organisation, *key };
    call_.bodyDigest = bodyDigestOf(request);
    const absl::Time now = services().clock.now();
    control::ActionDecision decision = actions_.actionController.claimAction(
        actions_.control.state(), actions_.control.frameAges(), call_,
        actions_.control.isCurrent(now), now, services().clock.wallTime());
    claim_ = decision.claim;
    if (decision.record && !actions_.control.append(*decision.record)) {
        actions_.actionController.dropClaim(call_.key);
        decision.verdict = control::ActionVerdict::NotRun;
    }
    handleDecision(decision);
}

void ActionRequest::onApplied()
{
    if (state_ == State::Claiming) {
        const control::ActionDecision decision = actions_.actionController.pollClaim(
            actions_.control.state(), actions_.control.frameAges(), call_, claim_,
            services().clock.now());
        if (decision.record)
            actions_.control.append(*decision.record);
        handleDecision(decision);
        return;
    }
    if (state_ != State::Recording)
        return;
    const control::Action *action = actions_.control.state().actions().find(call_.key);
    if (action != nullptr && action->stage == control::ActionStage::Answered)
        sendServiceAnswer();
}

void ActionRequest::handleDecision(const control::ActionDecision &decision)
{
    using base::ReasonCode;
    switch (decision.verdict) {
    case control::ActionVerdict::Claiming:
        break;
    case control::ActionVerdict::Run:
        callService();
        break;
    case control::ActionVerdict::Recorded:
        sendRecordedAnswer();
        break;
    case control::ActionVerdict::InProgress:
        endWithError(errorResponseOf({ ReasonCode::Conflict, "the action is in progress" },
                                     RunState::Unknown, ActionRetryAfter));
        break;
    case control::ActionVerdict::Unknown:
        endWithError(errorResponseOf(
            { ReasonCode::OutcomeUnknown, "the action may have run and will not be run again" },
            RunState::Unknown));
        break;
    case control::ActionVerdict::BodyDiffers:
        endWithError({ StatusUnprocessable,
                       { ReasonCode::InvalidArgument,
                         "Idempotency-Key: was used before for another request" },
                       RunState::NotRun,
                       absl::ZeroDuration() });
        break;
    case control::ActionVerdict::KeyDateOutOfRange:
        endWithError(errorResponseOf({ ReasonCode::InvalidArgument,
                                       "Idempotency-Key: its date is too old or in the future" },
                                     RunState::NotRun));
        break;
    case control::ActionVerdict::NotRun:
        endWithError(errorResponseOf({ ReasonCode::Unavailable, "the action could not be claimed" },
                                     RunState::NotRun, ActionRetryAfter));
        break;
    }
}

void ActionRequest::callService()
{
    const absl::Time now = services().clock.now();
    serving::RouteQuery query(facts_);
    query.allowedEndpoints = route_.endpoints;
    query.isRecoverable = false;
    const serving::RouteChoice choice
        = services().router.choose(query, services().endpoints, now, services().random());
    const serving::EndpointView *view
        = choice.endpoint ? services().endpoints.find(*choice.endpoint) : nullptr;
    if (view == nullptr) {
        onCallFailed(choice.refusal.reason, false);
        return;
    }
    ports::EndpointRequest request = serviceCall(exchange()->request(), view->endpoint, id());
    const base::Outcome<CallToken> call = services().calls.start(std::move(request), *this);
    if (!call) {
        onCallFailed(call.lastReason(), false);
        return;
    }
    state_ = State::Calling;
    running_ = *call;
    endpoint_ = choice.endpoint;
    services().endpoints.noteSent(*endpoint_, facts_, now);
}

void ActionRequest::onCallUpdate(CallToken call, const CallUpdate &update)
{
    if (!running_ || *running_ != call)
        return;
    if (update.head)
        head_ = *update.head;
    body_ += update.bytes;
    if (body_.size() > MaxAnswerBytes) {
        services().calls.cancel(*running_);
        running_.reset();
        onCallFailed({ base::ReasonCode::OutcomeUnknown, "the service's answer is too long" },
                     true);
        return;
    }
    if (update.end)
        onCallEnd(*update.end);
}

void ActionRequest::onCallEnd(const ports::EndpointCallEnd &end)
{
    running_.reset();
    services().metrics.countEndpointCall(*endpoint_, end.complete);
    if (!end.complete) {
        services().ejection.noteFailure(*endpoint_, services().clock.now());
        onCallFailed(end.reason, end.mayHaveRun);
        return;
    }
    releaseEndpoint();
    state_ = State::Recording;
    recordingSince_ = services().clock.now();
    const control::ServiceResponse answer { static_cast<std::uint16_t>(head_.status),
                                            contentTypeOf(head_), body_ };
    actions_.control.append(actions_.actionController.finishAction(call_.key, answer));
}

void ActionRequest::onCallFailed(const base::Reason &reason, bool mayHaveRun)
{
    releaseEndpoint();
    if (mayHaveRun)
        actions_.control.append(actions_.actionController.recordUnknownOutcome(call_.key));
    else
        actions_.control.append(actions_.actionController.releaseAction(call_.key));
    if (!mayHaveRun) {
        endWithError(errorResponseOf(reason, RunState::NotRun, ActionRetryAfter));
        return;
    }
    const base::Reason unknown { base::ReasonCode::OutcomeUnknown, reason.text };
    endWithError(errorResponseOf(unknown, RunState::Unknown));
}

void ActionRequest::sendRecordedAnswer()
{
    const control::Action *action = actions_.control.state().actions().find(call_.key);
    state_ = State::Ended;
    if (action == nullptr || !action->bodyRecorded) {
        refuse(errorResponseOf(
            { base::ReasonCode::Gone, "the action has run; its answer was too long to be kept" },
            RunState::Ran));
        return;
    }
    if (!callerDisconnected_) {
        countAnswer(action->status);
        exchange()->respond(action->status,
                            { { "Content-Type", action->contentType },
                              { "Zinniadoor-Run", nameOf(RunState::Ran) },
                              { "Zinniadoor-Request", id().str() } },
                            action->body);
    }
    markDone();
}

void ActionRequest::sendServiceAnswer()
{
    state_ = State::Ended;
    if (!callerDisconnected_) {
        countAnswer(head_.status);
        std::vector<ports::HttpHeader> headers = headersForCaller(head_.headers, id());
        headers.push_back({ "Zinniadoor-Run", nameOf(RunState::Ran) });
        exchange()->respond(head_.status, std::move(headers), body_);
    }
    markDone();
}

void ActionRequest::countAnswer(int status)
{
    if (isServerError(status))
        countFailure(base::ReasonCode::Unavailable);
    else
        countCompleted(services().clock.now());
}

void ActionRequest::endWithError(const ErrorResponse &response)
{
    state_ = State::Ended;
    refuse(response);
}

void ActionRequest::releaseEndpoint()
{
    if (endpoint_)
        services().endpoints.noteFinished(id(), services().clock.now());
}

void ActionRequest::onCallerDisconnected()
{
    callerDisconnected_ = true;
    if (state_ != State::Claiming)
        return; // The call continues, so that its outcome is recorded for a retry by the caller.
    actions_.actionController.abandon(call_.key, claim_);
    state_ = State::Ended;
    markDone();
}

void ActionRequest::abort(const base::Reason &reason)
{
    // A running call is not aborted: its outcome would be unknown.
    if (state_ != State::Claiming)
        return;
    actions_.actionController.abandon(call_.key, claim_);
    endWithError(errorResponseOf(reason, RunState::NotRun));
}

void ActionRequest::onTick(absl::Time now)
{
    if (state_ == State::Recording && now - recordingSince_ > RecordTimeout)
        sendServiceAnswer();
    // pollClaim also ends a claim that did not appear in the log in time.
    if (state_ == State::Claiming)
        onApplied();
}

} // namespace zinniadoor::daemon
