#include <utility>

#include "exchange_state.hpp"
#include "zinniadoor/base/events.hpp"

namespace zinniadoor::gateway {

namespace {

using base::EventId;
using base::logEvent;

} // namespace

void Exchange::takeUp()
{
    if (const auto known = context_.origins.find(stream_, context_.clock.now())) {
        onOrigin({ known, OriginSource::Memory });
        return;
    }
    context_.updates.askOrigin( // The question keeps the exchange alive.
        stream_, service_,
        [self = shared_from_this()](const OriginFinding &origin) { self->onOrigin(origin); });
}

void Exchange::onOrigin(const OriginFinding &origin)
{
    if (phase_ == Phase::Ended)
        return;
    if (!origin.version) {
        if (origin.mayBeKnownLater)
            rejectStream("version_not_confirmed", origin.source, DefaultRetryAfter);
        else
            rejectStream("unknown_version", origin.source);
        return;
    }
    origin_ = origin.version;
    context_.metrics.countTakeUp("continued", nameOf(origin.source));
    logEvent(EventId::StreamTakenUp,
             { { "request", facts_.id },
               { "stream", facts_.resumes },
               { "last_event", std::to_string(*lastEventId_) },
               { "service", service_ },
               { "endpoint_version", *origin.version },
               { "source", nameOf(origin.source) },
               { "answered_by", origin.instance },
               { "list_age_ms", directoryAge() } });
    // What is known of the only version was found out with a current directory.
    if (origin.source == OriginSource::OnlyVersion || !mayMissEndpoints()) {
        dispatch();
        return;
    }
    context_.catchUpDirectory(
        [self = shared_from_this()](bool isCurrent) { self->continueStream(isCurrent); });
}

bool Exchange::isVersionListed() const
{
    return context_.directory.availableFrom(service_, context_.clock.now(), &regions_, &*origin_)
        .has_value();
}

bool Exchange::mayMissEndpoints() const
{
    return context_.isDirectoryOutdated() || !isVersionListed();
}

void Exchange::continueStream(bool isCurrent)
{
    if (phase_ == Phase::Ended)
        return;
    if (!isCurrent && !isVersionListed())
        rejectStream("version_not_listed", OriginSource::Answer, DefaultRetryAfter);
    else
        dispatch();
}

std::string Exchange::directoryAge() const
{
    const absl::Duration age = context_.directoryAge();
    return age == absl::InfiniteDuration() ? "" : wholeMs(age);
}

// Another endpoint's events would not fit to those that the caller has. Where that holds later,
// too, the caller is not asked to come back.
void Exchange::rejectStream(const std::string &reason, OriginSource source,
                            std::optional<absl::Duration> retryAfter)
{
    context_.metrics.countTakeUp("rejected", nameOf(source));
    logEvent(EventId::StreamRejected,
             { { "request", facts_.id },
               { "stream", facts_.resumes },
               { "last_event", lastEventId_ ? std::to_string(*lastEventId_) : "" },
               { "service", service_ },
               { "endpoint_version", origin_.value_or("") },
               { "source", nameOf(source) },
               { "list_age_ms", directoryAge() },
               { "reason", reason } });
    refuse(RefusalKind::NotRun, reason, retryAfter);
}

// Started again under its id since the request was sent there by an older record.
bool Exchange::mayBeAnotherVersion() const
{
    const EndpointRecord *listed = context_.directory.find(servingEndpoint_.id);
    return listed && listed->version != servingEndpoint_.version;
}

void Exchange::noteOrigin()
{
    if (!origin_ && mayBeAnotherVersion())
        return;
    const absl::Time now = context_.clock.now();
    if (!origin_)
        origin_ = servingEndpoint_.version;
    context_.origins.note(stream_, *origin_, now);
    if (route_.repeatability != Repeatability::AtMostOnce)
        context_.updates.announceOrigin(stream_, *origin_);
}

const char *nameOf(OriginSource source)
{
    switch (source) {
    case OriginSource::Memory:
        return "memory";
    case OriginSource::OnlyVersion:
        return "only_version";
    case OriginSource::Peers:
        return "peers";
    case OriginSource::Answer:
        return "answer";
    }
    return "unknown";
}

} // namespace zinniadoor::gateway
