#include "zinniadoor/daemon/action_request.hpp"

#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

#include "zinniadoor/daemon/service_request.hpp"

namespace zinniadoor::daemon {

namespace {

constexpr std::size_t MostKeyBytes = 255;
constexpr std::size_t MostAnswerBytes = 4UL * 1024 * 1024;
constexpr int StatusUnprocessable = 422;
constexpr absl::Duration AskAgain = absl::Seconds(1);

/// An answer that has run is given even if the log does not take its record for this long.
constexpr absl::Duration RecordPatience = absl::Seconds(5);

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
    begin();
}

ActionRequest::~ActionRequest()
{
    if (running_)
        services().calls.cancel(*running_);
}

void ActionRequest::begin()
{
    const ports::CallerRequest &request = exchange()->request();
    const std::string *key = request.header("Idempotency-Key");
    if (key == nullptr || key->empty() || key->size() > MostKeyBytes) {
        refuseOnce(errorAnswerOf({ base::ReasonCode::InvalidArgument,
                                   "Idempotency-Key: is missing or not 1 to 255 bytes long" },
                                 RunState::NotRun));
        return;
    }
    call_.key = { caller().organisation, *key };
    call_.bodyDigest = bodyDigestOf(request);
    const absl::Time now = services().clock.now();
    control::ActionDecision decision = actions_.keeper.claimAction(
        actions_.control.state(), actions_.control.watch(), call_, actions_.control.isCurrent(now),
        now, services().clock.wallTime());
    claim_ = decision.claim;
    if (decision.record && !actions_.control.append(*decision.record)) {
        actions_.keeper.dropClaim(call_.key);
        decision.verdict = control::ActionVerdict::NotRun;
    }
    follow(decision);
}

void ActionRequest::onApplied()
{
    if (state_ == State::Claiming) {
        const control::ActionDecision decision
            = actions_.keeper.pollClaim(actions_.control.state(), actions_.control.watch(), call_,
                                        claim_, services().clock.now());
        if (decision.record)
            actions_.control.append(*decision.record);
        follow(decision);
        return;
    }
    if (state_ != State::Recording)
        return;
    const control::Action *action = actions_.control.state().actions().find(call_.key);
    if (action != nullptr && action->stage == control::ActionStage::Answered)
        answerRan();
}

void ActionRequest::follow(const control::ActionDecision &decision)
{
    using base::ReasonCode;
    switch (decision.verdict) {
    case control::ActionVerdict::Claiming:
        break;
    case control::ActionVerdict::Run:
        runOnce();
        break;
    case control::ActionVerdict::Recorded:
        answerRecorded();
        break;
    case control::ActionVerdict::InProgress:
        refuseOnce(errorAnswerOf({ ReasonCode::Conflict, "the action is in progress" },
                                 RunState::Unknown, AskAgain));
        break;
    case control::ActionVerdict::Unknown:
        refuseOnce(errorAnswerOf(
            { ReasonCode::OutcomeUnknown, "the action may have run and will not be run again" },
            RunState::Unknown));
        break;
    case control::ActionVerdict::BodyDiffers:
        refuseOnce({ StatusUnprocessable,
                     { ReasonCode::InvalidArgument,
                       "Idempotency-Key: was used before for another request" },
                     RunState::NotRun,
                     absl::ZeroDuration() });
        break;
    case control::ActionVerdict::KeyDateOutOfRange:
        refuseOnce(errorAnswerOf({ ReasonCode::InvalidArgument,
                                   "Idempotency-Key: its date is too old or in the future" },
                                 RunState::NotRun));
        break;
    case control::ActionVerdict::NotRun:
        refuseOnce(errorAnswerOf({ ReasonCode::Unavailable, "the action could not be claimed" },
                                 RunState::NotRun, AskAgain));
        break;
    }
}

void ActionRequest::runOnce()
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
        onBroken(choice.refusal.reason, false);
        return;
    }
    ports::EndpointRequest request = serviceCall(exchange()->request(), view->endpoint, id());
    const base::Outcome<CallToken> call = services().calls.start(std::move(request), *this);
    if (!call) {
        onBroken(call.lastReason(), false);
        return;
    }
    state_ = State::Calling;
    running_ = *call;
    endpoint_ = choice.endpoint;
    services().endpoints.noteSent(*endpoint_, facts_, now);
}

void ActionRequest::onCallNews(CallToken call, const CallNews &news)
{
    if (!running_ || *running_ != call)
        return;
    if (news.head)
        head_ = *news.head;
    body_ += news.bytes;
    if (body_.size() > MostAnswerBytes) {
        services().calls.cancel(*running_);
        running_.reset();
        onBroken({ base::ReasonCode::OutcomeUnknown, "the service's answer is too long" }, true);
        return;
    }
    if (news.end)
        onCallEnd(*news.end);
}

void ActionRequest::onCallEnd(const ports::EndpointCallEnd &end)
{
    running_.reset();
    services().metrics.countEndpointCall(*endpoint_, end.complete);
    if (!end.complete) {
        services().ejection.noteFailure(*endpoint_, services().clock.now());
        onBroken(end.reason, end.mayHaveRun);
        return;
    }
    leaveEndpoint();
    state_ = State::Recording;
    recordedAt_ = services().clock.now();
    const control::ServiceResponse answer { static_cast<std::uint16_t>(head_.status),
                                            contentTypeOf(head_), body_ };
    actions_.control.append(actions_.keeper.finishAction(call_.key, answer));
}

void ActionRequest::onBroken(const base::Reason &reason, bool mayHaveRun)
{
    leaveEndpoint();
    if (mayHaveRun)
        actions_.control.append(actions_.keeper.recordUnknownOutcome(call_.key));
    else
        actions_.control.append(actions_.keeper.releaseAction(call_.key));
    if (!mayHaveRun) {
        refuseOnce(errorAnswerOf(reason, RunState::NotRun, AskAgain));
        return;
    }
    const base::Reason unknown { base::ReasonCode::OutcomeUnknown, reason.text };
    refuseOnce(errorAnswerOf(unknown, RunState::Unknown));
}

void ActionRequest::answerRecorded()
{
    const control::Action *action = actions_.control.state().actions().find(call_.key);
    state_ = State::Ended;
    if (action == nullptr || !action->bodyRecorded) {
        refuse(errorAnswerOf(
            { base::ReasonCode::Gone, "the action has run; its answer was too long to be kept" },
            RunState::Ran));
        return;
    }
    if (!callerGone_) {
        countAnswered(action->status);
        exchange()->respond(action->status,
                            { { "Content-Type", action->contentType },
                              { "Zinniadoor-Run", nameOf(RunState::Ran) },
                              { "Zinniadoor-Request", id().str() } },
                            action->body);
    }
    markDone();
}

void ActionRequest::answerRan()
{
    state_ = State::Ended;
    if (!callerGone_) {
        countAnswered(head_.status);
        std::vector<ports::HttpHeader> headers = headersForCaller(head_.headers, id());
        headers.push_back({ "Zinniadoor-Run", nameOf(RunState::Ran) });
        exchange()->respond(head_.status, std::move(headers), body_);
    }
    markDone();
}

void ActionRequest::countAnswered(int status)
{
    if (isServerFault(status))
        countFault(base::ReasonCode::Unavailable);
    else
        countInTime(services().clock.now());
}

void ActionRequest::refuseOnce(const ErrorAnswer &answer)
{
    state_ = State::Ended;
    refuse(answer);
}

void ActionRequest::leaveEndpoint()
{
    if (endpoint_)
        services().endpoints.noteFinished(id(), services().clock.now());
}

void ActionRequest::onCallerGone()
{
    callerGone_ = true;
    if (state_ != State::Claiming)
        return; // The call goes on, so that its outcome is known to whoever asks again.
    actions_.keeper.abandon(call_.key, claim_);
    state_ = State::Ended;
    markDone();
}

void ActionRequest::cut(const base::Reason &reason)
{
    // A running call is not broken off: nobody could tell afterwards whether it ran.
    if (state_ != State::Claiming)
        return;
    actions_.keeper.abandon(call_.key, claim_);
    refuseOnce(errorAnswerOf(reason, RunState::NotRun));
}

void ActionRequest::onTick(absl::Time now)
{
    if (state_ == State::Recording && now - recordedAt_ > RecordPatience)
        answerRan();
    // pollClaim also ends a claim that was not seen in time.
    if (state_ == State::Claiming)
        onApplied();
}

} // namespace zinniadoor::daemon
