#include "endpoint_status.hpp"

#include <optional>

#include "zinniadoor/base/events.hpp"

namespace zinniadoor::gateway {

namespace {

/// How long peers are advised to avoid a leaving endpoint. By then its record shows the change, or
/// they have received its status themselves.
constexpr absl::Duration LeavingAdvice = absl::Seconds(10);

void announce(ServingContext &context, const base::EndpointId &endpoint,
              const std::optional<serving::FailureReport> &report)
{
    if (!report)
        return;
    base::logEvent(base::EventId::EndpointFailureReported,
                   { { "endpoint", endpoint.str() }, { "reason", nameOf(report->kind) } });
    context.metrics.countFailureReport("sent");
    context.updates.announceFailure(*report);
}

} // namespace

void reportFailure(ServingContext &context, const base::EndpointId &endpoint,
                   serving::FailureKind kind)
{
    announce(context, endpoint,
             context.directory.failures().noteOwn(endpoint, kind, context.clock.now()));
}

void noteEndpointStatus(ServingContext &context, const base::EndpointId &called,
                        const AnswerFacts &facts)
{
    if (!facts.endpoint.empty() && facts.endpoint != called.str())
        return; // Another endpoint has taken over the address.
    const absl::Time now = context.clock.now();
    announce(context, called, context.directory.failures().noteAnswer(called, facts.leaving, now));
    if (facts.backOff) {
        context.directory.noteBackOff(called, *facts.backOff, now);
        base::logEvent(base::EventId::EndpointRests,
                       { { "endpoint", called.str() },
                         { "for_ms", std::to_string(absl::ToInt64Milliseconds(*facts.backOff)) } });
    }
    if (context.directory.limits().note(called, facts.limit, now, now)) {
        base::logEvent(base::EventId::EndpointLimitChanged,
                       { { "endpoint", called.str() },
                         { "per_second", facts.limit ? std::to_string(*facts.limit) : "" } });
    }
    const EndpointRecord *record = context.directory.find(called);
    if (facts.coldLeft && record
        && context.directory.cold().noteAnswer(called, record->service, *facts.coldLeft, now)) {
        base::logEvent(
            base::EventId::EndpointColdnessChanged,
            { { "endpoint", called.str() },
              { "cold", *facts.coldLeft > absl::ZeroDuration() ? "yes" : "no" },
              { "source", "answer" },
              { "for_ms", std::to_string(absl::ToInt64Milliseconds(*facts.coldLeft)) } });
    }
    if (facts.leaving && context.directory.noteLeaving(called)) {
        base::logEvent(base::EventId::EndpointLeaving, { { "endpoint", called.str() } });
        context.updates.announcePause(called, LeavingAdvice);
        reportFailure(context, called, serving::FailureKind::Leaving);
        context.updates.onDirectoryChanged();
    }
}

} // namespace zinniadoor::gateway
