#include <algorithm>

#include "exchange_state.hpp"
#include "zinniadoor/base/events.hpp"
#include "zinniadoor/net/fetch.hpp"

namespace zinniadoor::gateway {

namespace {

using base::EventId;
using base::logEvent;

/// Callers honour a return time of up to this share of what they have left.
constexpr double ReturnShare = 1.0 / 3;

/// Shorter return times would only cause repeated requests.
constexpr absl::Duration MinReturn = absl::Milliseconds(50);

/// Time after which callers abandon a stream without an event: the longest of these.
constexpr absl::Duration SilenceFloor = absl::Seconds(2);
constexpr double SilencePerObjective = 4;
constexpr double SilencePerGap = 8;

} // namespace

void Exchange::refuse(RefusalKind kind, const std::string &why,
                      std::optional<absl::Duration> returnAfter)
{
    if (returnAfter)
        returnAfter = std::min(std::max(*returnAfter, MinReturn), ReturnShare * timeLeft());
    refuseUntil(kind, why, returnAfter);
}

void Exchange::refuseUntil(RefusalKind kind, const std::string &why,
                           std::optional<absl::Duration> returnAfter)
{
    if (phase_ == Phase::Ended)
        return;
    if (streamBegun_) { // Nothing but an incomplete end can be said any more.
        responder_->abort();
        end("broken", why);
        return;
    }
    // Whatever is the reason now, an earlier sending may have run.
    if (kind == RefusalKind::NotRun && mayHaveRunAt_ > 0) {
        kind = RefusalKind::OutcomeUnknown;
        returnAfter.reset();
    }
    Refusal refusal;
    refusal.kind = kind;
    refusal.text = why;
    refusal.retryAfter = returnAfter;
    if (quotaTaken_ && mayHaveRunAt_ == 0)
        context_.quota.giveBack(organisation_->id, quotaCost_);
    context_.metrics.countRefusal(kind);
    cancelCalls();
    responder_->answer(context_.callers.encode(refusal, facts_.id.empty() ? nullptr : &facts_));
    end(nameOf(kind), why);
}

void Exchange::end(const char *outcome, const std::string &why)
{
    if (phase_ == Phase::Ended)
        return;
    phase_ = Phase::Ended;
    cancelCalls();
    endTimer_.cancel();
    silenceTimer_.cancel();
    const absl::Time now = context_.clock.now();
    context_.metrics.countRequest(outcome);
    context_.metrics.observeDuration(now - arrived_);
    logEvent(EventId::RequestEnded,
             { { "request", facts_.id },
               { "route", route_.name },
               { "organisation", organisation_ ? organisation_->id.str() : "" },
               { "charge", std::to_string(static_cast<std::uint64_t>(quotaCost_)) },
               { "outcome", outcome },
               { "reason", why },
               { "endpoint", sendings_ > 0 ? writer_.id.str() : "" },
               { "sendings", std::to_string(sendings_) },
               { "objective_ms", shortMs(route_.objective) },
               { "read_ms", readFor_ ? shortMs(*readFor_) : "" },
               { "begin_ms", firstByteAt_ ? shortMs(*firstByteAt_ - runBegan_) : "" },
               { "first_ms", firstByteAt_ ? shortMs(*firstByteAt_ - arrived_) : "" },
               { "total_ms", shortMs(now - arrived_) },
               { "version", configuration_ ? std::to_string(configuration_->version()) : "" } });
}

void Exchange::cancelCalls()
{
    if (const auto call = std::move(call_))
        call->cancel();
    call_.reset();
    readerLoad_.release();
    writerLoad_.release();
    endFlight();
    releasePrompt();
}

// A read prompt that nobody takes over fills the engine's memory until it lapses.
void Exchange::releasePrompt()
{
    constexpr absl::Duration ReleaseTimeout = absl::Seconds(1);
    if (!prompt_ || promptTaken_)
        return;
    net::FetchOptions options;
    options.timeout = ReleaseTimeout;
    options.matchesCall = [&dialect = context_.endpoints](const net::ResponseHead &head) {
        return dialect.answersOwnRequest(head);
    };
    // The memory lapses by itself where the endpoint wants no request.
    if (context_.directory.mayCall(reader_.id, context_.clock.now())) {
        net::fetch(context_.io, context_.client, { reader_.address, reader_.id.str() },
                   context_.endpoints.releasePrompt(*prompt_, reader_), std::move(options),
                   [](const base::Outcome<net::FullResponse> &) {});
    }
    prompt_.reset();
}

void Exchange::onCallerLeft()
{
    end("caller_left", "");
}

void Exchange::onTimeOver()
{
    if (phase_ == Phase::Ended)
        return;
    const bool mayHaveRun = mayHaveRunAt_ > 0 || phase_ == Phase::Running;
    refuse(mayHaveRun ? RefusalKind::TimedOut : RefusalKind::NotRun, "time_over");
}

// A stream that stays silent is broken, or its connection is; only a stream may go on elsewhere.
void Exchange::onSilence()
{
    if (phase_ == Phase::Ended || route_.repeatability == Repeatability::AtMostOnce)
        return;
    CallOutcome outcome;
    outcome.reason = "silent";
    if (phase_ == Phase::ReadingPrompt) {
        if (const auto call = std::move(call_))
            call->cancel();
        onPromptFailed(outcome);
    } else if (phase_ == Phase::Running || phase_ == Phase::Streaming) {
        onRunFailed(outcome);
    }
}

void Exchange::armEndTimer()
{
    const std::weak_ptr<Exchange> weak = weak_from_this();
    endTimer_.expires_after(absl::ToChronoMilliseconds(timeLeft()));
    endTimer_.async_wait([weak](boost::system::error_code error) {
        const auto self = weak.lock();
        if (self && !error)
            self->onTimeOver();
    });
}

void Exchange::armSilenceTimer(absl::Duration time)
{
    const std::weak_ptr<Exchange> weak = weak_from_this();
    silenceTimer_.expires_after(absl::ToChronoMilliseconds(time));
    silenceTimer_.async_wait([weak](boost::system::error_code error) {
        const auto self = weak.lock();
        if (self && !error)
            self->onSilence();
    });
}

absl::Duration Exchange::timeLeft() const
{
    return std::max(absl::ZeroDuration(), endsAt_ - context_.clock.now());
}

absl::Duration Exchange::firstByteLimit() const
{
    if (!route_.streaming)
        return std::max(route_.objective, timeLeft() * 0.5);
    return std::max({ SilenceFloor, route_.objective * SilencePerObjective,
                      route_.longestGap * SilencePerGap });
}

} // namespace zinniadoor::gateway
