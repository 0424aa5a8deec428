#include "endpoint_signs.hpp"

#include "zinniadoor/base/events.hpp"

namespace zinniadoor::gateway {

namespace {

/// For which peers are advised to avoid an endpoint that is about to end; by then the list says so,
/// or they have asked it themselves.
constexpr absl::Duration LeavingAdvice = absl::Seconds(10);

} // namespace

void noteEndpointSigns(ServingContext &context, const base::EndpointId &called,
                       const AnswerFacts &facts)
{
    if (!facts.endpoint.empty() && facts.endpoint != called.str())
        return; // Said by another endpoint, which took over the address.
    const absl::Time now = context.clock.now();
    if (facts.rest) {
        context.directory.noteRestWanted(called, *facts.rest, now);
        base::logEvent(base::EventId::EndpointRests,
                       { { "endpoint", called.str() },
                         { "for_ms", std::to_string(absl::ToInt64Milliseconds(*facts.rest)) } });
    }
    if (facts.leaving && context.directory.noteLeaving(called)) {
        base::logEvent(base::EventId::EndpointLeaving, { { "endpoint", called.str() } });
        context.news.announcePause(called, LeavingAdvice);
        context.news.onDirectoryChanged();
    }
}

} // namespace zinniadoor::gateway
