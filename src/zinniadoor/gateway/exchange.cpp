#include "zinniadoor/gateway/exchange.hpp"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

#include "endpoint_status.hpp"
#include "exchange_state.hpp"
#include "zinniadoor/base/events.hpp"

namespace zinniadoor::gateway {

namespace {

using base::EventId;
using base::logEvent;

/// Allows several round trips between data centres.
constexpr absl::Duration ConnectTimeout = absl::Milliseconds(400);

/// For a request that cannot be sent again. Endpoints may be unreachable for about a second, and
/// the wait between retransmissions doubles.
constexpr absl::Duration RunOnceUnackedTimeout = absl::Milliseconds(2500);

} // namespace

void Exchange::dispatch()
{
    const absl::Time now = context_.clock.now();
    phase_ = Phase::Deciding;
    const auto choice = chooseEndpoint(context_, choiceFacts(), now);
    if (!choice) {
        refuseWithoutEndpoint();
        return;
    }
    if (!admitInTime(*choice))
        return;
    noteTrialIfRefused();
    send(*choice);
}

ChoiceFacts Exchange::choiceFacts() const
{
    ChoiceFacts facts;
    facts.service = service_;
    facts.route = route_.name;
    facts.request = facts_.id;
    facts.parts = &parts_;
    facts.promptTokens = facts_.promptTokens;
    facts.carriesPrompt = route_.carriesPrompt;
    facts.rank = rank();
    facts.localPrefill = remotePrefillFailed_ || lastEventId_.has_value();
    facts.tried = &tried_;
    facts.regions = &regions_;
    facts.version = origin_ ? &*origin_ : nullptr;
    facts.objective = route_.objective;
    facts.bodyBytes = request_.body().size();
    return facts;
}

void Exchange::refuseWithoutEndpoint()
{
    const absl::Time now = context_.clock.now();
    const std::string *version = origin_ ? &*origin_ : nullptr;
    const auto from = context_.directory.availableFrom(service_, now, &regions_, version);
    if (!from && version) { // Nobody else may go on with the stream, now or later.
        rejectStream("version_gone", OriginSource::Answer);
    } else if (from && *from > now && *from < absl::InfiniteFuture())
        refuseWithExactRetryAfter(RefusalKind::NotRun, "all_resting", *from - now);
    else
        refuse(RefusalKind::NotRun, "no_endpoint", DefaultRetryAfter);
}

void Exchange::send(const EndpointChoice &choice)
{
    if (!context_.paths->hasWay()) {
        refuse(RefusalKind::NotRun, "cut_off", DefaultRetryAfter);
        return;
    }
    const absl::Time now = context_.clock.now();
    const EndpointRecord *endpoint = context_.directory.find(choice.endpoint);
    const EndpointRecord *prefillEngine
        = choice.prefillEngine ? context_.directory.find(*choice.prefillEngine) : nullptr;
    if (!endpoint || (choice.prefillEngine && !prefillEngine)) {
        refuse(RefusalKind::NotRun, "endpoint_left", DefaultRetryAfter);
        return;
    }
    choice_ = choice;
    servingEndpoint_ = *endpoint;
    if (prefillEngine)
        prefillEngine_ = *prefillEngine;
    callStartedAt_ = now;
    lastSignAt_ = now;
    silent_ = false;
    stoodStill_ = false;
    silenceDue_ = absl::InfiniteFuture();
    paused_ = false;
    if (attempts_ == 0)
        context_.budget.noteRequest(service_, now);
    ++attempts_;
    arrivals_.noteSent();
    // The decode engine's call follows; counted now, so that it will not find the limit reached.
    if (prefillEngine)
        context_.directory.noteCall(prefillEngine_.id, now);
    context_.directory.noteCall(servingEndpoint_.id, now);
    const base::EndpointId &executor = prefillEngine ? prefillEngine_.id : servingEndpoint_.id;
    context_.directory.cold().noteCall(executor, now);
    queuedTokens_ = context_.load.load(executor, now).tokensAhead(rank());
    noteDispatched(choice, servingEndpoint_, executor);
    if (servingEndpoint_.dataCentre != context_.dataCentre)
        context_.metrics.countSpilledRequest(request_.body().size());
    armSilenceTimer(firstByteTimeout());
    if (prefillEngine) {
        startPrefill(choice);
        return;
    }
    servingLoad_ = LoadReservation(
        context_.load, servingEndpoint_.id,
        serving::EngineLoad::ofRequest(static_cast<std::uint32_t>(choice.tokensToPrefill), rank()));
    if (!route_.carriesPrompt)
        servingLoad_.measure(context_, choice);
    run();
}

void Exchange::noteDispatched(const EndpointChoice &choice, const EndpointRecord &endpoint,
                              const base::EndpointId &executor)
{
    const serving::EngineLoad before = context_.load.load(executor, context_.clock.now());
    logEvent(EventId::RequestDispatched,
             { { "request", facts_.id },
               { "route", route_.name },
               { "endpoint", endpoint.id.str() },
               { "endpoint_version", endpoint.version },
               { "reader", choice.prefillEngine ? executor.str() : "" },
               { "copied_from", choice.prefixSource ? choice.prefixSource->str() : "" },
               { "sending", std::to_string(attempts_) },
               { "tokens_to_read", std::to_string(choice.tokensToPrefill) },
               { "tokens_waiting", std::to_string(before.tokensAhead(rank())) },
               { "requests_there", std::to_string(before.requests) },
               { "expected_ms", wholeMs(choice.firstByte) },
               { "left_ms", wholeMs(timeLeft()) },
               { "version", std::to_string(configuration_->version()) } });
    if (route_.carriesPrompt) {
        const bool held = context_.load.holdsSharedPrefix(executor, parts_);
        context_.load.recordSegments(executor, parts_);
        context_.updates.announceParts(executor, parts_, held);
    }
}

void Exchange::startPrefill(const EndpointChoice &choice)
{
    phase_ = Phase::Prefilling;
    prefillLoad_ = LoadReservation(
        context_.load, prefillEngine_.id,
        serving::EngineLoad::ofRequest(static_cast<std::uint32_t>(choice.tokensToPrefill), rank()));
    servingLoad_ = LoadReservation(context_.load, servingEndpoint_.id,
                                   serving::EngineLoad::ofRequest(0, rank()));
    Dispatch dispatch = dispatchTo(prefillEngine_);
    dispatch.prefixSource = prefixSourceAddress(choice_);
    net::Request request = context_.endpointDialect.prefill(request_, dispatch);
    call_ = context_.client.start(targetOf(prefillEngine_), std::move(request), callOptions(),
                                  makePrefillHandler(shared_from_this(), context_.endpointDialect));
}

void Exchange::onPrefillDone(const std::string &handle)
{
    call_.reset();
    noteSignOfLife();
    const absl::Time now = context_.clock.now();
    prefillTime_ = now - callStartedAt_;
    prefillLoad_.release();
    context_.directory.noteSuccess(prefillEngine_.id);
    if (!hasStoodStill()) {
        context_.speeds.notePrefill(service_, choice_.tokensToPrefill, queuedTokens_,
                                    *prefillTime_);
    }
    prompt_ = PromptHandle { prefillEngine_.address, handle };
    promptTransferred_ = false;
    prefilledBefore_ = true;
    if (refuseIfHarmful())
        return;
    if (context_.directory.isEvacuated(prefillEngine_.dataCentre)) { // No source of copies.
        prompt_.reset();
        CallOutcome outcome;
        outcome.endpointAtFault = false;
        outcome.reason = "evacuated";
        onPrefillFailed(outcome);
        return;
    }
    // The decode engine may have moved, changed its stage or left since it was chosen.
    const EndpointRecord *chosen = context_.directory.find(servingEndpoint_.id);
    if (chosen && chosen->service == service_ && chosen->stage != Stage::Prefill
        && context_.directory.mayCall(chosen->id, now)
        && context_.directory.cold().mayCall(chosen->id, now)) {
        servingEndpoint_ = *chosen;
    } else { // Fails over to another one.
        ChoiceFacts facts;
        facts.service = service_;
        facts.parts = &parts_;
        facts.carriesPrompt = true;
        facts.localPrefill = true;
        facts.tried = &tried_;
        facts.regions = &regions_;
        facts.version = origin_ ? &*origin_ : nullptr;
        const auto choice = chooseEndpoint(context_, facts, now);
        const EndpointRecord *other = choice ? context_.directory.find(choice->endpoint) : nullptr;
        if (!other) {
            refuseWithoutEndpoint();
            return;
        }
        servingEndpoint_ = *other;
        context_.directory.noteCall(servingEndpoint_.id, now);
        servingLoad_ = LoadReservation(context_.load, servingEndpoint_.id,
                                       serving::EngineLoad::ofRequest(0, rank()));
    }
    context_.directory.cold().noteCall(servingEndpoint_.id, now);
    run();
    // The time of the prefill is not the decode engine's silence.
    armSilenceTimer(std::max(silenceTimeout(), firstByteTimeout() - *prefillTime_));
}

void Exchange::onPrefillHead(const AnswerFacts &facts)
{
    noteEndpointStatus(context_, prefillEngine_.id, facts);
}

void Exchange::onPrefillRejected(const AnswerFacts &facts)
{
    CallOutcome outcome;
    outcome.endpointAtFault = !facts.notRun;
    outcome.rejected = facts.notRun;
    outcome.reason = facts.notRun ? notRunReason(facts) : absl::StrCat("status_", facts.status);
    noteMisdirected(prefillEngine_.id, facts);
    onPrefillFailed(outcome);
}

void Exchange::onPrefillFailed(const CallOutcome &outcome)
{
    abandonPrefill(outcome);
    noteCallFailed(prefillEngine_.id, outcome);
    CallOutcome notRun = outcome;
    notRun.mayHaveRun = false; // A prefill does not execute the request.
    retryOrFail(notRun);
}

void Exchange::abandonPrefill(const CallOutcome &outcome)
{
    if (const auto call = std::move(call_))
        call->cancel();
    call_.reset();
    prefillLoad_.release();
    servingLoad_.release();
    remotePrefillFailed_ = true;
    tried_.push_back(prefillEngine_.id);
    logEvent(EventId::PromptReadFailed,
             { { "request", facts_.id },
               { "endpoint", prefillEngine_.id.str() },
               { "reason", outcome.reason },
               { "after_ms", wholeMs(context_.clock.now() - callStartedAt_) } });
}

void Exchange::run()
{
    phase_ = Phase::Running;
    runStartedAt_ = context_.clock.now();
    lastSignAt_ = runStartedAt_;
    mayHaveQueued_
        = context_.load.load(servingEndpoint_.id, runStartedAt_).requests >= servingEndpoint_.slots;
    Dispatch dispatch = dispatchTo(servingEndpoint_);
    dispatch.prompt = prompt_;
    if (!prompt_)
        dispatch.prefixSource = prefixSourceAddress(choice_);
    if (streamStarted_)
        dispatch.resumeAfter = lastEventId_;
    net::Request request = context_.endpointDialect.run(request_, dispatch);
    net::CallOptions options = callOptions();
    if (route_.repeatability == Repeatability::AtMostOnce)
        options.unackedTimeout = std::min(RunOnceUnackedTimeout, timeLeft());
    call_
        = context_.client.start(targetOf(servingEndpoint_), std::move(request), std::move(options),
                                makeRunHandler(shared_from_this(), context_.endpointDialect));
}

// Other requests should avoid the endpoint, but this one may still be answered.
void Exchange::onRunUnacknowledged()
{
    CallOutcome outcome;
    outcome.reason = "unacknowledged";
    if (!silent_)
        noteCallFailed(servingEndpoint_.id, outcome);
    noteSilence("run_once");
}

bool Exchange::onRunHead(const net::ResponseHead &head)
{
    if (phase_ != Phase::Running)
        return false;
    const AnswerFacts facts = context_.endpointDialect.decode(head);
    noteSignOfLife();
    noteEndpointStatus(context_, servingEndpoint_.id, facts);
    const bool success = facts.status / 100 == 2;
    if (!isServed(head, facts)) {
        noteMisdirected(servingEndpoint_.id, facts);
        onRunFailed(rejectionOf(facts));
        return false;
    }
    if (streamStarted_ && !success) { // Its head and body have no place within the stream.
        CallOutcome outcome;
        outcome.reason = absl::StrCat("status_", facts.status);
        onRunFailed(outcome);
        return false;
    }
    const bool mayRepeat = route_.repeatability != Repeatability::AtMostOnce;
    if (!success && facts.status >= 500 && mayRepeat && !executionStartedAt_) {
        // Retried at another endpoint if possible; otherwise this answer is forwarded.
        CallOutcome outcome;
        outcome.reason = absl::StrCat("status_", facts.status);
        outcome.endpointAtFault = true;
        const std::uint32_t ranBefore = mayHaveRunCount_;
        ++mayHaveRunCount_;
        noteExecutionStarted();
        const auto refusal = reasonNotToRetry(outcome);
        mayHaveRunCount_ = ranBefore;
        executionStartedAt_.reset();
        if (!refusal || standby_) {
            onRunFailed(outcome);
            return false;
        }
    }
    promptTransferred_ = true;
    noteExecutionStarted();
    if (executionStartedAt_ && phase_ == Phase::Running && success && route_.streaming) {
        startStream(head);
        return true;
    }
    answerHead_ = head;
    answerBody_.clear();
    held_.reset();
    return true;
}

void Exchange::noteMisdirected(const base::EndpointId &endpoint, const AnswerFacts &facts)
{
    if (!facts.misdirected || facts.endpoint.empty())
        return;
    if (facts.endpoint != endpoint.str()) {
        context_.directory.noteReplaced(endpoint, context_.clock.now());
        reportFailure(context_, endpoint, serving::FailureKind::Replaced);
    } else if (context_.directory.noteStageSwitched(endpoint))
        context_.updates.onDirectoryChanged();
}

const char *notRunReason(const AnswerFacts &facts)
{
    if (facts.misdirected)
        return "misdirected";
    return facts.notRun ? "shed" : "unsigned_answer";
}

bool isServed(const net::ResponseHead &head, const AnswerFacts &facts)
{
    const bool encoded = head.find(net::http::field::content_encoding) != head.end();
    return facts.isSigned && !facts.notRun && !encoded;
}

CallOutcome rejectionOf(const AnswerFacts &facts)
{
    CallOutcome outcome;
    outcome.mayHaveRun = !facts.notRun;
    outcome.endpointAtFault = !facts.notRun;
    outcome.rejected = facts.notRun;
    outcome.reason = notRunReason(facts);
    return outcome;
}

void Exchange::startStream(const net::ResponseHead &head)
{
    phase_ = Phase::Streaming;
    servingLoad_.noteAnswered(); // The length of a stream says nothing about the endpoint's speed.
    framer_.reset();
    if (!streamStarted_) {
        streamStarted_ = true;
        responder_->begin(context_.callerDialect.forwardedHead(head));
        const std::weak_ptr<Exchange> weak = weak_from_this();
        responder_->onDrained([weak] {
            const auto self = weak.lock();
            if (self && self->call_)
                self->resumeReading();
        });
    }
}

void Exchange::resumeReading()
{
    if (held_)
        held_->resize(unsentBytes());
    call_->setPaused(false);
    if (std::exchange(paused_, false))
        armSilenceTimer(silenceTimeout());
}

void Exchange::onRunBody(const std::string &bytes)
{
    constexpr std::size_t MaxPendingBytes = std::size_t { 64 } * 1024; // Per slow caller.
    if (servingEndpoint_.dataCentre != context_.dataCentre)
        context_.metrics.countSpilledAnswer(bytes.size());
    if (phase_ != Phase::Streaming) {
        noteSignOfLife();
        armSilenceTimer(silenceTimeout());
        answerBody_.append(bytes);
        if (answerBody_.size() > MaxAnswerBytes) {
            CallOutcome outcome;
            outcome.reason = "answer_too_long";
            onRunFailed(outcome);
            return;
        }
        hold(answerBody_.size());
        return;
    }
    deliverEvents(bytes);
    if (call_ && responder_->pendingBytes() > MaxPendingBytes) {
        paused_ = true;
        call_->setPaused(true);
    }
    if (call_)
        hold(unsentBytes());
}

std::size_t Exchange::unsentBytes() const
{
    return framer_.pendingBytes() + responder_->pendingBytes();
}

void Exchange::hold(std::size_t bytes)
{
    if (!held_ && bytes <= context_.heldAnswers->options().shortAnswer)
        return;
    if (!held_) {
        held_ = std::make_shared<serving::HeldAnswer>(context_.heldAnswers, servingEndpoint_.id,
                                                      heldActions());
    }
    const auto held = held_; // May be given up.
    held->resize(bytes);
}

// A stream has its own flow control, which its caller sets the pace of.
serving::HeldAnswerActions Exchange::heldActions()
{
    const std::weak_ptr<Exchange> weak = weak_from_this();
    serving::HeldAnswerActions actions;
    if (phase_ != Phase::Streaming) {
        actions.setPaused = [weak](bool paused) {
            if (const auto self = weak.lock())
                self->setReadingPaused(paused);
        };
    }
    actions.giveUp = [weak] {
        CallOutcome outcome;
        outcome.reason = "memory_limit";
        if (const auto self = weak.lock())
            self->onRunFailed(outcome);
    };
    return actions;
}

void Exchange::setReadingPaused(bool paused)
{
    if (!call_)
        return;
    paused_ = paused;
    call_->setPaused(paused);
    if (!paused)
        armSilenceTimer(silenceTimeout());
}

void Exchange::deliverEvents(absl::string_view bytes)
{
    const auto events = framer_.feed(bytes);
    CallOutcome outcome;
    outcome.reason = "bad_event";
    if (!events) {
        onRunFailed(outcome);
        return;
    }
    const bool mayRepeat = route_.repeatability != Repeatability::AtMostOnce;
    if (mayRepeat && origin_ && !events->empty() && mayBeAnotherVersion()) {
        outcome.reason = "endpoint_replaced";
        onRunFailed(outcome);
        return;
    }
    for (const StreamEvent &event : *events) {
        if (event.id && lastEventId_ && *event.id <= *lastEventId_) {
            onRunFailed(outcome); // Ids must increase: not a continuation of the stream.
            return;
        }
        if (event.id)
            lastEventId_ = event.id;
        if (!firstByteAt_) {
            firstByteAt_ = context_.clock.now();
            context_.metrics.observeFirstByte(*firstByteAt_ - arrivedAt_);
            noteFirstEvent(*firstByteAt_ - runStartedAt_);
            noteAnswerTime(*firstByteAt_ - callStartedAt_);
            noteOrigin();
        }
        servingLoad_.releaseTokens();
        responder_->send(event.bytes);
    }
    if (events->empty())
        return;
    noteSignOfLife();
    discardStandby(true);
    armSilenceTimer(silenceTimeout());
}

void Exchange::noteFirstEvent(absl::Duration time)
{
    if (!route_.carriesPrompt || mayHaveQueued_ || hasStoodStill())
        return;
    if (prompt_)
        context_.speeds.noteFirstStep(service_, time);
    else
        context_.speeds.noteLocalPrefill(service_, choice_.tokensToPrefill, time);
}

void Exchange::onRunEnd()
{
    call_.reset();
    const absl::Time now = context_.clock.now();
    context_.spill.noteHeard(servingEndpoint_.dataCentre, now);
    if (phase_ == Phase::Streaming) {
        if (framer_.hasPartialEvent()) {
            CallOutcome outcome;
            outcome.reason = "cut_event";
            onRunFailed(outcome);
            return;
        }
        context_.directory.noteSuccess(servingEndpoint_.id);
        noteAnswered();
        context_.updates.announcePartReports(context_.partCrashes.noteSuccess(sharedParts_, now));
        context_.health.noteSuccess(servingEndpoint_.id, now - callStartedAt_, now);
        if (firstByteAt_)
            context_.speeds.noteDecode(service_, now - *firstByteAt_);
        responder_->finish();
        end("served", "");
        return;
    }
    const bool ok = answerHead_.result_int() < 500;
    if (ok)
        context_.health.noteSuccess(servingEndpoint_.id, now - callStartedAt_, now);
    if (ok && !route_.streaming) { // An engine may refuse a prompt before it runs it.
        noteAnswered();
        noteAnswerTime(now - callStartedAt_);
    }
    context_.directory.noteSuccess(servingEndpoint_.id);
    if (ok) // An error says little about the endpoint's speed.
        servingLoad_.noteAnswered();
    context_.metrics.observeFirstByte(now - arrivedAt_);
    net::Response answer;
    answer.base() = context_.callerDialect.forwardedHead(answerHead_);
    answer.body() = std::move(answerBody_);
    if (held_) { // Until the caller has taken it.
        held_->setActions({ nullptr, [responder = responder_] { responder->abort(); } });
        responder_->keepUntilSent(held_);
        held_.reset();
    }
    responder_->answer(std::move(answer));
    end(ok ? "served" : "endpoint_error", "");
}

void Exchange::onRunFailed(const CallOutcome &outcome)
{
    if (const auto call = std::move(call_))
        call->cancel();
    call_.reset();
    held_.reset();
    std::string().swap(answerBody_); // Frees its memory, unlike `clear` and an assignment.
    servingLoad_.release();
    releasePrompt();
    if (outcome.crashed)
        noteCrash(servingEndpoint_.id);
    if (outcome.mayHaveRun) {
        ++mayHaveRunCount_;
        onTrial_ = false; // Whatever became of the endpoint, one is enough.
    }
    noteCallFailed(servingEndpoint_.id, outcome);
    tried_.push_back(servingEndpoint_.id);
    if (prefilledBefore_)
        remotePrefillFailed_ = true;
    if (standby_) {
        if (!outcome.arrived)
            arrivals_.noteUnconnected();
        logCallFailed(servingEndpoint_.id, outcome, "standby");
        activateStandby();
        return;
    }
    retryOrFail(outcome);
}

net::CallTarget Exchange::targetOf(const EndpointRecord &endpoint) const
{
    constexpr std::uint32_t MaxDirect = 2; // Failures after which a relay is preferred.
    return context_.paths->targetOf(endpoint, arrivals_.unconnected() >= MaxDirect);
}

Dispatch Exchange::dispatchTo(const EndpointRecord &endpoint) const
{
    Dispatch dispatch;
    dispatch.endpoint = &endpoint;
    dispatch.timeLeft = timeLeft();
    if (organisation_)
        dispatch.organisation = organisation_->id;
    dispatch.enginePriority = enginePriority();
    return dispatch;
}

std::string Exchange::prefixSourceAddress(const EndpointChoice &choice) const
{
    const EndpointRecord *source
        = choice.prefixSource ? context_.directory.find(*choice.prefixSource) : nullptr;
    return source ? source->address : "";
}

std::size_t Exchange::rank() const
{
    return static_cast<std::size_t>(std::max(route_.priority, 0));
}

std::optional<int> Exchange::enginePriority() const
{
    if (!route_.carriesPrompt)
        return std::nullopt;
    constexpr int MostUrgent = 2; // 0 and 1 are reserved for more urgent work.
    constexpr int PerRank = 2;
    constexpr int LeastUrgent = 9;
    return std::min(LeastUrgent, MostUrgent + PerRank * route_.priority);
}

net::CallOptions Exchange::callOptions() const
{
    net::CallOptions options;
    options.connectTimeout = std::min(ConnectTimeout, timeLeft());
    const EndpointDialect &dialect = context_.endpointDialect;
    const std::string id = facts_.id;
    options.matchesCall
        = [&dialect, id](const net::ResponseHead &head) { return dialect.answers(head, id); };
    options.identity = id;
    options.isAmbiguous
        = [&dialect](const net::ResponseHead &head) { return dialect.isRefusalWithoutId(head); };
    return options;
}

} // namespace zinniadoor::gateway
