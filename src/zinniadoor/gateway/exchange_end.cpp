#include <algorithm>
#include <utility>

#include "exchange_state.hpp"
#include "zinniadoor/base/events.hpp"
#include "zinniadoor/net/fetch.hpp"

namespace zinniadoor::gateway {

namespace {

using base::EventId;
using base::logEvent;

/// Callers honour a Retry-After of up to this share of their remaining time.
constexpr double MaxRetryAfterShare = 1.0 / 3;

/// A shorter Retry-After would only cause repeated rejections.
constexpr absl::Duration MinRetryAfter = absl::Milliseconds(50);

/// Timeout of a silent stream, in multiples of its target event gap.
constexpr int SilenceTimeoutGaps = 4;

/// Timeout of a plain answer, in multiples of the mean answer time.
constexpr double SilenceTimeoutAnswers = 1.5;

/// A timer that is later shows that this process stood still, not that the endpoint was silent.
constexpr absl::Duration MaxTimerDelay = absl::Milliseconds(250);

/// Time to read what has arrived meanwhile.
constexpr absl::Duration UnreadTime = absl::Milliseconds(100);

/// Callers abandon a stream without a first event after the longest of these times.
constexpr absl::Duration FirstEventMinTimeout = absl::Seconds(2);
constexpr double FirstEventTimeoutPerObjective = 4;
constexpr double FirstEventTimeoutPerGap = 8;

/// The first byte must be expected within this share of the remaining time.
constexpr double MaxExpectedShare = 0.9;

} // namespace

void Exchange::refuse(RefusalKind kind, const std::string &why,
                      std::optional<absl::Duration> retryAfter)
{
    if (retryAfter)
        retryAfter
            = std::min(std::max(*retryAfter, MinRetryAfter), MaxRetryAfterShare * timeLeft());
    refuseWithExactRetryAfter(kind, why, retryAfter);
}

void Exchange::refuseWithExactRetryAfter(RefusalKind kind, const std::string &why,
                                         std::optional<absl::Duration> retryAfter)
{
    if (phase_ == Phase::Ended)
        return;
    if (streamStarted_) { // The head was sent: only an abort can signal the failure.
        responder_->abort();
        end("broken", why);
        return;
    }
    // An earlier attempt may have been executed, whatever the reason of this rejection.
    if (kind == RefusalKind::NotRun && mayHaveRunCount_ > 0) {
        kind = RefusalKind::OutcomeUnknown;
        retryAfter.reset();
    }
    Refusal refusal;
    refusal.kind = kind;
    refusal.text = why;
    refusal.retryAfter = retryAfter;
    if (quotaConsumed_ && mayHaveRunCount_ == 0)
        context_.quota.refund(organisation_->id, quotaCost_);
    context_.metrics.countRefusal(kind);
    cancelCalls();
    responder_->answer(
        context_.callerDialect.encode(refusal, facts_.id.empty() ? nullptr : &facts_));
    end(nameOf(kind), why);
}

void Exchange::end(const char *outcome, const std::string &why)
{
    if (phase_ == Phase::Ended)
        return;
    phase_ = Phase::Ended;
    cancelCalls();
    deadlineTimer_.cancel();
    silenceTimer_.cancel();
    const absl::Time now = context_.clock.now();
    context_.metrics.countRequest(outcome);
    context_.metrics.observeDuration(now - arrivedAt_);
    logEvent(EventId::RequestEnded,
             { { "request", facts_.id },
               { "route", route_.name },
               { "organisation", organisation_ ? organisation_->id.str() : "" },
               { "charge", std::to_string(static_cast<std::uint64_t>(quotaCost_)) },
               { "outcome", outcome },
               { "reason", why },
               { "endpoint", attempts_ > 0 ? servingEndpoint_.id.str() : "" },
               { "endpoint_version", attempts_ > 0 ? servingEndpoint_.version : "" },
               { "sendings", std::to_string(attempts_) },
               { "objective_ms", wholeMs(route_.objective) },
               { "expected_ms", expected_ > absl::ZeroDuration() ? wholeMs(expected_) : "" },
               { "read_ms", prefillTime_ ? wholeMs(*prefillTime_) : "" },
               { "begin_ms", firstByteAt_ ? wholeMs(*firstByteAt_ - runStartedAt_) : "" },
               { "first_ms", firstByteAt_ ? wholeMs(*firstByteAt_ - arrivedAt_) : "" },
               { "total_ms", wholeMs(now - arrivedAt_) },
               { "version", configuration_ ? std::to_string(configuration_->version()) : "" } });
}

void Exchange::cancelCalls()
{
    if (const auto call = std::move(call_))
        call->cancel();
    call_.reset();
    held_.reset();
    discardStandby(false);
    prefillLoad_.release();
    servingLoad_.release();
    releasePrompt();
}

// An unclaimed prompt occupies KV cache of the prefill engine until its handle expires.
void Exchange::releasePrompt()
{
    constexpr absl::Duration ReleaseTimeout = absl::Seconds(1);
    if (!prompt_)
        return;
    if (promptTransferred_) { // A handle can be used once.
        prompt_.reset();
        return;
    }
    net::FetchOptions options;
    options.timeout = ReleaseTimeout;
    options.maxBodyBytes = net::MaxEndpointReplyBytes;
    options.matchesCall = [&dialect = context_.endpointDialect](const net::ResponseHead &head) {
        return dialect.answersOwnRequest(head);
    };
    // An endpoint that accepts no requests frees the memory when the handle expires.
    if (context_.directory.mayCall(prefillEngine_.id, context_.clock.now())) {
        net::fetch(context_.io, context_.client, targetOf(prefillEngine_),
                   context_.endpointDialect.releasePrompt(*prompt_, prefillEngine_),
                   std::move(options), [](const base::Outcome<net::FullResponse> &) {});
    }
    prompt_.reset();
}

void Exchange::onCallerLeft()
{
    end("caller_left", "");
}

void Exchange::onDeadline()
{
    if (phase_ == Phase::Ended)
        return;
    if (phase_ == Phase::Running || standby_)
        ++mayHaveRunCount_;
    refuse(mayHaveRunCount_ > 0 ? RefusalKind::TimedOut : RefusalKind::NotRun, "time_over");
}

void Exchange::endForStop()
{
    if (phase_ == Phase::Running || standby_)
        ++mayHaveRunCount_;
    if (mayHaveRunCount_ > 0)
        refuse(RefusalKind::OutcomeUnknown, "stopping");
    else
        refuse(RefusalKind::NotRun, "stopping", DefaultRetryAfter);
}

// Silence is not evidence of a failure: a run is only given up once another endpoint has taken the
// request. Requests that must not be executed twice keep waiting until their deadline.
void Exchange::onSilenceTimeout()
{
    if (phase_ == Phase::Prefilling) {
        onSilentPrefill();
        return;
    }
    if (phase_ != Phase::Running && phase_ != Phase::Streaming)
        return;
    if (route_.repeatability == Repeatability::AtMostOnce)
        return;
    if (paused_) // The caller is slow, not the endpoint; `resumeReading` sets the timer again.
        return;
    CallOutcome outcome;
    outcome.reason = "silent";
    if (!silent_)
        noteCallFailed(servingEndpoint_.id, outcome);
    armSilenceTimer(silenceTimeout());
    if (standby_ || !needsCurrentDirectory()) {
        beginStandby();
        return;
    }
    context_.catchUpDirectory([self = shared_from_this(), since = lastSignAt_](bool) {
        const bool isSilent = self->call_ && self->lastSignAt_ == since && !self->paused_;
        if (isSilent && self->phase_ != Phase::Ended)
            self->beginStandby();
    });
}

void Exchange::beginStandby()
{
    noteSilence(standby_ ? "wait" : startStandby().value_or("standby"));
}

// A prefill executes nothing, so any request may be sent elsewhere in its place.
void Exchange::onSilentPrefill()
{
    CallOutcome outcome;
    outcome.mayHaveRun = false;
    outcome.reason = "silent";
    if (!silent_)
        noteCallFailed(prefillEngine_.id, outcome);
    EndpointChoice instead;
    const auto reason = takeRetryOfPrefill(instead);
    noteSilence(reason.value_or("give_up"));
    if (reason) {
        armSilenceTimer(silenceTimeout());
        return;
    }
    abandonPrefill(outcome);
    logCallFailed(prefillEngine_.id, outcome, "retry");
    context_.metrics.countRetry();
    send(instead);
}

const EndpointRecord &Exchange::currentEndpoint() const
{
    return phase_ == Phase::Prefilling ? prefillEngine_ : servingEndpoint_;
}

void Exchange::noteSilence(const std::string &decision)
{
    silent_ = true;
    logEvent(EventId::EndpointSilent,
             { { "request", facts_.id },
               { "endpoint", currentEndpoint().id.str() },
               { "last_event", lastEventId_ ? std::to_string(*lastEventId_) : "" },
               { "silent_ms", wholeMs(context_.clock.now() - lastSignAt_) },
               { "decision", decision },
               { "left_ms", wholeMs(timeLeft()) } });
}

void Exchange::noteSignOfLife()
{
    const absl::Time now = context_.clock.now();
    if (std::exchange(silent_, false)) {
        logEvent(EventId::EndpointSilenceEnded,
                 { { "request", facts_.id },
                   { "endpoint", currentEndpoint().id.str() },
                   { "silent_ms", wholeMs(now - lastSignAt_) } });
    }
    lastSignAt_ = now;
}

void Exchange::armDeadlineTimer()
{
    const std::weak_ptr<Exchange> weak = weak_from_this();
    deadlineTimer_.expires_after(absl::ToChronoMilliseconds(timeLeft()));
    deadlineTimer_.async_wait([weak](boost::system::error_code error) {
        const auto self = weak.lock();
        if (self && !error)
            self->onDeadline();
    });
}

void Exchange::armSilenceTimer(absl::Duration time, bool isExtension)
{
    const std::weak_ptr<Exchange> weak = weak_from_this();
    const absl::Time due = context_.clock.now() + time;
    stoodStill_ = hasStoodStill();
    silenceDue_ = due;
    silenceTimer_.expires_after(absl::ToChronoMilliseconds(time));
    silenceTimer_.async_wait(
        [weak, due, isExtension, turn = ++silenceTurn_](boost::system::error_code error) {
            const auto self = weak.lock();
            // It may have been set anew when its handler was queued already.
            if (!self || error || turn != self->silenceTurn_)
                return;
            const bool isLate = self->context_.clock.now() - due > MaxTimerDelay;
            self->stoodStill_ = self->stoodStill_ || isLate;
            self->silenceDue_ = absl::InfiniteFuture();
            if (!isExtension && isLate)
                self->armSilenceTimer(UnreadTime, true);
            else
                self->onSilenceTimeout();
        });
}

// The answer of a call may be read before the timer that shows the standstill.
bool Exchange::hasStoodStill() const
{
    return stoodStill_ || context_.clock.now() - silenceDue_ > MaxTimerDelay;
}

absl::Duration Exchange::timeLeft() const
{
    return std::max(absl::ZeroDuration(), deadline_ - context_.clock.now());
}

absl::Duration Exchange::silenceTimeout() const
{
    return std::max(MinSilenceTimeout, route_.targetEventGap * SilenceTimeoutGaps);
}

// A whole answer that takes as long as others is no sign of silence.
absl::Duration Exchange::firstByteTimeout() const
{
    if (!route_.streaming) {
        return std::max({ route_.objective, timeLeft() * 0.5,
                          context_.answers.mean(answerClass()) * SilenceTimeoutAnswers });
    }
    return std::max({ FirstEventMinTimeout, route_.objective * FirstEventTimeoutPerObjective,
                      route_.targetEventGap * FirstEventTimeoutPerGap });
}

// Callers wait for a whole answer until their time is over, but abandon a stream that does not
// begin. One that has begun is broken off if it is not continued, so it may use all of its time.
absl::Duration Exchange::longestExpected() const
{
    const bool mayTakeAll = !route_.streaming || streamStarted_;
    return MaxExpectedShare * (mayTakeAll ? timeLeft() : std::min(firstByteTimeout(), timeLeft()));
}

} // namespace zinniadoor::gateway
