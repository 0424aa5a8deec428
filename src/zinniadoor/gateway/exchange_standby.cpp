#include <utility>

#include "endpoint_status.hpp"
#include "exchange_state.hpp"

namespace zinniadoor::gateway {

// A silent endpoint may be down or merely slow. Cancelling its call first would lose the request if
// no other endpoint takes it.
std::optional<std::string> Exchange::startStandby()
{
    const absl::Time now = context_.clock.now();
    // The silent endpoint may have executed the request.
    if (auto reason = reasonNotToRepeat(mayHaveRunCount_ + 1))
        return reason;
    if (onTrial_) // May have crashed the silent endpoint.
        return "on_trial";
    if (auto reason = reasonOfHarm())
        return reason;
    std::vector<base::EndpointId> avoided = tried_;
    avoided.push_back(servingEndpoint_.id);
    ChoiceFacts facts = choiceFacts();
    facts.localPrefill = true;
    facts.tried = &avoided;
    facts.excluded = &servingEndpoint_.id;
    const auto choice = chooseEndpoint(context_, facts, now);
    const EndpointRecord *endpoint = choice ? context_.directory.find(choice->endpoint) : nullptr;
    if (!endpoint)
        return "no_endpoint";
    if (!context_.paths->hasWay())
        return "cut_off";
    if (!takeBudget())
        return "retry_budget";
    context_.metrics.countRetry();
    ++attempts_;
    arrivals_.noteSent();
    context_.directory.noteCall(endpoint->id, now);
    context_.directory.cold().noteCall(endpoint->id, now);
    noteDispatched(*choice, *endpoint, endpoint->id);
    Standby &standby = standby_.emplace();
    standby.attempt = attempts_;
    standby.choice = *choice;
    standby.endpoint = *endpoint;
    standby.startedAt = now;
    standby.load
        = LoadReservation(context_.load, endpoint->id,
                          serving::EngineLoad::ofRequest(
                              static_cast<std::uint32_t>(choice->tokensToPrefill), rank()));
    if (!route_.carriesPrompt)
        standby.load.measure(context_, *choice);
    Dispatch dispatch = dispatchTo(standby.endpoint);
    dispatch.prefixSource = prefixSourceAddress(*choice);
    if (streamStarted_)
        dispatch.resumeAfter = lastEventId_;
    standby.call = context_.client.start(
        targetOf(standby.endpoint), context_.endpointDialect.run(request_, dispatch), callOptions(),
        makeStandbyHandler(shared_from_this(), standby.attempt));
    return std::nullopt;
}

bool Exchange::isStandby(std::uint32_t attempt) const
{
    return standby_ && standby_->attempt == attempt;
}

void Exchange::onStandbyHead(const net::ResponseHead &head)
{
    const AnswerFacts facts = context_.endpointDialect.decode(head);
    noteEndpointStatus(context_, standby_->endpoint.id, facts);
    const bool success = facts.status / 100 == 2;
    if (!isServed(head, facts) || (!success && (streamStarted_ || facts.status >= 500))) {
        noteMisdirected(standby_->endpoint.id, facts);
        onStandbyFailed(rejectionOf(facts));
        return;
    }
    standby_->head = head;
}

bool Exchange::standbyIsWhole() const
{
    return !route_.streaming || standby_->head->result_int() / 100 != 2;
}

// The silent call may still go on better than a run that breaks off before its first event, or that
// does not continue the stream.
void Exchange::onStandbyBody(const std::string &bytes)
{
    standby_->body.append(bytes);
    CallOutcome outcome;
    if (standby_->body.size() > MaxAnswerBytes) {
        outcome.reason = "answer_too_long";
        onStandbyFailed(outcome);
        return;
    }
    if (standbyIsWhole()) {
        holdStandby();
        return;
    }
    const auto events = standby_->framer.feed(bytes);
    if (events && events->empty())
        return;
    const std::optional<std::uint64_t> first = events ? events->front().id : std::nullopt;
    if (events && !(first && lastEventId_ && *first <= *lastEventId_)) {
        keepStandby();
        return;
    }
    outcome.reason = "bad_event";
    onStandbyFailed(outcome);
}

void Exchange::holdStandby()
{
    if (!standby_->held) {
        if (standby_->body.size() <= context_.heldAnswers->options().shortAnswer)
            return;
        const std::weak_ptr<Exchange> weak = weak_from_this();
        const std::uint32_t attempt = standby_->attempt;
        serving::HeldAnswerActions actions;
        actions.setPaused = [weak, attempt](bool paused) {
            const auto self = weak.lock();
            if (self && self->isStandby(attempt))
                self->standby_->call->setPaused(paused);
        };
        actions.giveUp = [weak, attempt] {
            CallOutcome outcome;
            outcome.reason = "memory_limit";
            const auto self = weak.lock();
            if (self && self->isStandby(attempt))
                self->onStandbyFailed(outcome);
        };
        standby_->held = std::make_shared<serving::HeldAnswer>(
            context_.heldAnswers, standby_->endpoint.id, std::move(actions));
    }
    const auto held = standby_->held; // May be given up.
    held->resize(standby_->body.size());
}

bool Exchange::onStandbyEnd()
{
    if (standbyIsWhole()) {
        keepStandby();
        return true;
    }
    CallOutcome outcome;
    outcome.reason = "cut_event";
    onStandbyFailed(outcome);
    return false;
}

void Exchange::keepStandby()
{
    CallOutcome replaced;
    replaced.endpointAtFault = false; // Its silence has been counted.
    replaced.reason = "replaced";
    onRunFailed(replaced);
}

void Exchange::activateStandby()
{
    Standby standby = std::move(*standby_);
    standby_.reset();
    choice_ = standby.choice;
    servingEndpoint_ = standby.endpoint;
    servingLoad_ = std::move(standby.load);
    call_ = std::move(standby.call);
    callStartedAt_ = standby.startedAt;
    runStartedAt_ = standby.startedAt;
    lastSignAt_ = standby.startedAt;
    silent_ = false;
    stoodStill_ = false;
    silenceDue_ = absl::InfiniteFuture();
    paused_ = false;
    mayHaveQueued_ = true; // The time until the switch says nothing about the engine's speed.
    phase_ = Phase::Running;
    armSilenceTimer(standby.head ? silenceTimeout() : firstByteTimeout());
    standby.held.reset(); // Counted with the run from now on.
    call_->setPaused(false);
    if (standby.head && onRunHead(*standby.head) && !standby.body.empty())
        onRunBody(standby.body);
}

void Exchange::onStandbyFailed(const CallOutcome &outcome)
{
    const base::EndpointId endpoint = standby_->endpoint.id;
    if (outcome.crashed)
        noteCrash(endpoint);
    if (!outcome.arrived)
        arrivals_.noteUnconnected();
    noteCallFailed(endpoint, outcome);
    logCallFailed(endpoint, outcome, "wait");
    discardStandby(outcome.mayHaveRun);
}

void Exchange::discardStandby(bool mayHaveRun)
{
    if (!standby_)
        return;
    const Standby standby = std::move(*standby_);
    standby_.reset();
    standby.call->cancel();
    if (mayHaveRun)
        ++mayHaveRunCount_;
    tried_.push_back(standby.endpoint.id);
}

} // namespace zinniadoor::gateway
