#include <utility>

#include "exchange_state.hpp"
#include "zinniadoor/base/events.hpp"

namespace zinniadoor::gateway {

namespace {

using base::EventId;
using base::logEvent;

} // namespace

void Exchange::noteCallEnded(const base::EndpointId &endpoint, const CallOutcome &outcome)
{
    const absl::Time now = context_.clock.now();
    context_.metrics.countEndpointFailure(outcome.reason.c_str());
    if (outcome.turnedAway)
        context_.directory.noteShed(endpoint, now);
    if (!outcome.endpointAtFault)
        return;
    context_.health.noteFailure(endpoint, now);
    if (context_.directory.noteFailure(endpoint, now)) {
        logEvent(EventId::EndpointSuspected,
                 { { "endpoint", endpoint.str() }, { "reason", outcome.reason } });
    }
}

std::optional<std::string> Exchange::reasonNotToRetry(const CallOutcome &outcome)
{
    // Time without which another call is not worth its cost.
    constexpr absl::Duration MinTimeLeft = absl::Milliseconds(30);
    if (outcome.mayHaveRun && route_.repeatability == Repeatability::AtMostOnce)
        return "may_have_run";
    if (streamBegun_ && !lastEvent_)
        return "no_event_to_resume_after";
    if (mayHaveRunAt_ >= route_.maxEndpoints)
        return "endpoints_used_up";
    if (timeLeft() < MinTimeLeft)
        return "no_time_left";
    constexpr std::uint32_t MaxSendings = 4; // Of one request, those that were not run included.
    if (sendings_ >= MaxSendings)
        return "sendings_used_up";
    return std::nullopt;
}

void Exchange::retryOrFail(const CallOutcome &outcome)
{
    auto reason = reasonNotToRetry(outcome);
    if (!reason && !context_.budget.take(service_, context_.clock.now()))
        reason = "retry_budget";
    logEvent(EventId::CallFailed,
             { { "request", facts_.id },
               { "endpoint", tried_.empty() ? "" : tried_.back().str() },
               { "reason", outcome.reason },
               { "may_have_run", outcome.mayHaveRun ? "yes" : "no" },
               { "last_event", lastEvent_ ? std::to_string(*lastEvent_) : "" },
               { "decision", reason ? *reason : "retry" },
               { "left_ms", shortMs(timeLeft()) } });
    if (!reason) {
        context_.metrics.countRetry();
        dispatch();
        return;
    }
    if (streamBegun_) {
        responder_->abort();
        end("broken", outcome.reason);
        return;
    }
    if (mayHaveRunAt_ > 0)
        refuse(RefusalKind::OutcomeUnknown, outcome.reason);
    else
        refuse(RefusalKind::NotRun, outcome.reason, UsualReturn);
}

void Exchange::noteStarted()
{
    if (startedAt_)
        return;
    startedAt_ = context_.clock.now();
    if (organisation_ && !usageCounted_) {
        usageCounted_ = true;
        context_.usage.count(organisation_->id, context_.trueTime.at(*startedAt_));
    }
}

void Exchange::noteBodyTaken()
{
    if (!std::exchange(bodyTaken_, true))
        context_.crashes.noteAccepted(bodyDigest_, writer_.id);
}

void Exchange::endFlight()
{
    context_.crashes.end(bodyDigest_, writer_.id, std::exchange(bodyTaken_, false));
}

} // namespace zinniadoor::gateway
