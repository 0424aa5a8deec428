#include <utility>

#include "absl/strings/str_join.h"

#include "endpoint_status.hpp"
#include "exchange_state.hpp"
#include "zinniadoor/base/events.hpp"

namespace zinniadoor::gateway {

namespace {

using base::EventId;
using base::logEvent;

void noteEndpointFault(ServingContext &context, const base::EndpointId &endpoint,
                       const CallOutcome &outcome, bool isReported)
{
    const absl::Time now = context.clock.now();
    context.health.noteFailure(endpoint, now);
    const bool suspected = context.directory.noteFailure(endpoint, now);
    if (suspected) {
        logEvent(EventId::EndpointSuspected,
                 { { "endpoint", endpoint.str() }, { "reason", outcome.reason } });
    }
    // Others find out for themselves, over links of their own.
    if (context.paths->isCutOff() || !outcome.relay.empty())
        return;
    if (outcome.noConnection && isReported)
        reportFailure(context, endpoint, serving::FailureKind::NoConnection);
    else if (suspected)
        reportFailure(context, endpoint, serving::FailureKind::NoAnswer);
}

} // namespace

void Exchange::noteCallFailed(const base::EndpointId &endpoint, const CallOutcome &outcome)
{
    context_.metrics.countEndpointFailure(outcome.reason.c_str());
    if (outcome.rejected)
        context_.directory.noteShed(endpoint, context_.clock.now());
    if (outcome.relayFailed)
        context_.paths->noteRelayFailed(outcome.relay);
    if (!outcome.endpointAtFault)
        return;
    // A connection that was given up because the request's time was over shows nothing.
    const bool isReported
        = !outcome.noConnection || timeLeft() > absl::Milliseconds(1); // Timers have whole ones.
    if (!outcome.noConnection || !outcome.relay.empty()) {
        noteEndpointFault(context_, endpoint, outcome, isReported);
        return;
    }
    context_.paths->noteConnectFailed(
        endpoint,
        [&context = context_, endpoint, outcome, isReported] {
            noteEndpointFault(context, endpoint, outcome, isReported);
        },
        [] {});
}

std::optional<std::string> Exchange::reasonNotToRetry(const CallOutcome &outcome) const
{
    if (outcome.mayHaveRun && route_.repeatability == Repeatability::AtMostOnce)
        return "may_have_run";
    return reasonNotToRepeat(mayHaveRunCount_);
}

std::optional<std::string> Exchange::reasonNotToRepeat(std::uint32_t runs) const
{
    // With less time, another attempt is unlikely to succeed.
    constexpr absl::Duration MinTimeLeft = absl::Milliseconds(30);
    if (streamStarted_ && !lastEventId_)
        return "no_event_to_resume_after";
    if (firstByteAt_ && !origin_)
        return "version_not_known";
    if (runs >= route_.maxEndpoints)
        return "endpoints_used_up";
    if (timeLeft() < MinTimeLeft)
        return "no_time_left";
    if (arrivals_.arrivalsUsedUp())
        return "sendings_used_up";
    if (arrivals_.connectionsUsedUp())
        return "connections_used_up";
    if (arrivals_.relaysUsedUp())
        return "relays_used_up";
    return std::nullopt;
}

std::optional<std::string> Exchange::takeRetryOfPrefill(EndpointChoice &choice)
{
    if (auto reason = reasonNotToRepeat(mayHaveRunCount_))
        return reason;
    if (auto reason = reasonOfHarm())
        return reason;
    const absl::Time now = context_.clock.now();
    ChoiceFacts facts = choiceFacts();
    facts.localPrefill = true;
    facts.excluded = &prefillEngine_.id;
    const auto found = chooseEndpoint(context_, facts, now);
    if (!found)
        return "no_endpoint";
    if (!takeBudget())
        return "retry_budget";
    choice = *found;
    return std::nullopt;
}

bool Exchange::takeBudget()
{
    if (!arrivals_.nextIsExtra())
        return true;
    if (!context_.budget.take(service_, context_.clock.now()))
        return false;
    arrivals_.noteCharged();
    return true;
}

// Attempts that no budget limits are made only where they are likely to succeed: where engines have
// no room, they would only delay the refusal.
std::optional<std::string> Exchange::takeRetry(const CallOutcome &outcome, EndpointChoice &choice)
{
    if (auto reason = reasonNotToRetry(outcome))
        return reason;
    if (auto reason = reasonOfHarm())
        return reason;
    const absl::Time now = context_.clock.now();
    ChoiceFacts facts = choiceFacts();
    if (outcome.noConnection)
        facts.excluded = &tried_.back();
    const auto found = chooseEndpoint(context_, facts, now);
    const bool mayBeDown
        = found && !arrivals_.nextIsExtra() && context_.directory.isSuspected(found->endpoint, now);
    if (!found || mayBeDown)
        return "no_endpoint";
    if (found->firstByte > longestExpected())
        return "too_late";
    if (!takeBudget())
        return "retry_budget";
    choice = *found;
    return std::nullopt;
}

void Exchange::logCallFailed(const base::EndpointId &endpoint, const CallOutcome &outcome,
                             const std::string &decision) const
{
    logEvent(EventId::CallFailed,
             { { "request", facts_.id },
               { "endpoint", endpoint.str() },
               { "relay", outcome.relay },
               { "reason", outcome.reason },
               { "may_have_run", outcome.mayHaveRun ? "yes" : "no" },
               { "last_event", lastEventId_ ? std::to_string(*lastEventId_) : "" },
               { "decision", decision },
               { "left_ms", wholeMs(timeLeft()) } });
}

void Exchange::retryOrFail(const CallOutcome &outcome)
{
    phase_ = Phase::Deciding;
    if (outcome.relayFailed)
        arrivals_.noteRelayFailed();
    else if (!outcome.arrived)
        arrivals_.noteUnconnected();
    const bool isExtra = arrivals_.nextIsExtra();
    EndpointChoice choice;
    const auto reason = takeRetry(outcome, choice);
    logCallFailed(tried_.empty() ? base::EndpointId() : tried_.back(), outcome,
                  reason.value_or(isExtra ? "retry" : "retry_without_budget"));
    if (!reason) {
        context_.metrics.countRetry();
        if (!isExtra)
            context_.metrics.countRetryWithoutBudget();
        send(choice);
        return;
    }
    if (refuseIfHarmful()) // Its part may have crashed endpoints since the last attempt.
        return;
    if (*reason == "no_endpoint") {
        refuseWithoutEndpoint();
        return;
    }
    if (streamStarted_) {
        responder_->abort();
        end("broken", outcome.reason);
        return;
    }
    if (mayHaveRunCount_ > 0)
        refuse(RefusalKind::OutcomeUnknown, outcome.reason);
    else
        refuse(RefusalKind::NotRun, outcome.reason, DefaultRetryAfter);
}

void Exchange::noteExecutionStarted()
{
    if (executionStartedAt_)
        return;
    executionStartedAt_ = context_.clock.now();
    if (organisation_ && !usageCounted_) {
        usageCounted_ = true;
        context_.usage.count(organisation_->id, context_.trueTime.at(*executionStartedAt_));
    }
}

void Exchange::noteCrash(const base::EndpointId &endpoint)
{
    const absl::Time now = context_.clock.now();
    onTrial_ = false;
    context_.bodyCrashes.expire(now);
    context_.partCrashes.expire(now);
    context_.updates.announceBodyReports(context_.bodyCrashes.noteCrash(
        { bodyKey_ }, serving::stableDigest(facts_.id), endpoint, now));
    context_.updates.announcePartReports(context_.partCrashes.noteCrash(
        sharedParts_, serving::stableDigest(bodyDigest_), endpoint, now));
    std::vector<std::string> sharedParts;
    for (std::size_t i = 0; i + 1 < facts_.promptParts.size(); ++i)
        sharedParts.push_back(facts_.promptParts[i].id);
    logEvent(EventId::EndpointCrashed,
             { { "request", facts_.id },
               { "endpoint", endpoint.str() },
               { "body", bodyDigest_ },
               { "refused", reasonOfHarm().value_or("") },
               { "parts", absl::StrJoin(sharedParts, ",") } });
}

void Exchange::noteTrialIfRefused()
{
    const absl::Time now = context_.clock.now();
    if (!context_.bodyCrashes.isRefused(bodyKey_, now))
        return;
    onTrial_ = true;
    context_.updates.announceBodyReports(context_.bodyCrashes.noteTrial(bodyKey_, now));
    logEvent(EventId::RefusedRequestTried, { { "request", facts_.id }, { "body", bodyDigest_ } });
}

void Exchange::noteAnswered()
{
    const absl::Time now = context_.clock.now();
    const bool wasRefused = context_.bodyCrashes.isRefused(bodyKey_, now);
    context_.updates.announceBodyReports(context_.bodyCrashes.noteSuccess({ bodyKey_ }, now));
    if (wasRefused) {
        logEvent(EventId::RefusedRequestCleared,
                 { { "request", facts_.id },
                   { "endpoint", servingEndpoint_.id.str() },
                   { "body", bodyDigest_ } });
    }
}

} // namespace zinniadoor::gateway
