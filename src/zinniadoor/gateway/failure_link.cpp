#include "zinniadoor/gateway/failure_link.hpp"

#include <algorithm>
#include <limits>

#include "zinniadoor/base/codec.hpp"
#include "zinniadoor/base/events.hpp"
#include "zinniadoor/gateway/peer_message.hpp"

namespace zinniadoor::gateway {

namespace {

using base::EventId;
using base::logEvent;

/// Between two lines about reporters that are disbelieved.
constexpr absl::Duration DisbeliefLogInterval = absl::Seconds(10);

bool isSame(const serving::FailureReport &a, const serving::FailureReport &b)
{
    return a.endpoint == b.endpoint && a.reporter == b.reporter && a.id == b.id;
}

} // namespace

PackedFailure PackedFailure::of(const serving::FailureReport &report)
{
    constexpr std::int64_t Longest = std::numeric_limits<std::uint16_t>::max();
    PackedFailure packed;
    packed.endpoint = report.endpoint;
    packed.startTimeMs = report.startTimeMs;
    packed.kind = static_cast<std::uint8_t>(report.kind);
    packed.reporter = report.reporter;
    packed.id = report.id;
    packed.ageMs = static_cast<std::uint16_t>(
        std::clamp<std::int64_t>(absl::ToInt64Milliseconds(report.age), 0, Longest));
    return packed;
}

serving::FailureReport PackedFailure::unpacked() const
{
    return { endpoint, startTimeMs, static_cast<serving::FailureKind>(kind),
             reporter, id,          absl::Milliseconds(ageMs) };
}

FailureLink::FailureLink(boost::asio::io_context &io, const ProcessName &self,
                         ServingContext &serving, Send send)
    : timer_(io)
    , self_(self)
    , serving_(serving)
    , send_(std::move(send))
    , queue_(isSame)
{
    serving_.directory.failures().setReporter(digestOf(self));
}

void FailureLink::announce(const serving::FailureReport &report)
{
    queue_.push({ report }, serving_.clock.now());
    if (!waiting_)
        sendDue();
}

void FailureLink::sendDue()
{
    EndpointFailuresMessage message;
    message.sender = self_;
    for (const auto &report :
         queue_.take(EndpointFailuresMessage::MaxFailures, serving_.clock.now()))
        message.failures.push_back(PackedFailure::of(report));
    waiting_ = !message.failures.empty();
    if (!waiting_)
        return;
    send_(base::encode(message));
    timer_.expires_after(absl::ToChronoMilliseconds(Interval));
    timer_.async_wait([this](boost::system::error_code error) {
        if (!error)
            sendDue();
    });
}

base::Status FailureLink::receive(const std::string &bytes, bool forwards)
{
    const auto message = base::decode<EndpointFailuresMessage>(bytes);
    if (!message)
        return message.lastReason();
    if (message->sender == self_)
        return base::Done {};
    for (const PackedFailure &failure : message->failures) {
        if (failure.isValid())
            apply(failure.unpacked(), forwards);
    }
    return base::Done {};
}

void FailureLink::apply(const serving::FailureReport &report, bool forwards)
{
    const absl::Time now = serving_.clock.now();
    const base::EndpointId *found = serving_.directory.findByDigest(report.endpoint);
    if (!found)
        return; // Not listed here yet, or removed.
    const base::EndpointId endpoint = *found;
    serving::FailureReports &failures = serving_.directory.failures();
    const bool avoidedBefore
        = failures.isAvoided(endpoint, now) || failures.isOutOfUse(endpoint, now);
    const serving::ReportEffect effect = failures.receive(endpoint, report, now);
    serving_.metrics.countFailureReport(nameOf(effect));
    if (effect == serving::ReportEffect::Disbelieved)
        noteDisbelieved(report, endpoint);
    if (effect != serving::ReportEffect::Applied)
        return;
    const bool avoided = failures.isAvoided(endpoint, now) || failures.isOutOfUse(endpoint, now);
    if (avoided != avoidedBefore) {
        logEvent(EventId::EndpointFailureApplied,
                 { { "endpoint", endpoint.str() },
                   { "reason", nameOf(report.kind) },
                   { "reporter", std::to_string(report.reporter) },
                   { "age_ms", std::to_string(absl::ToInt64Milliseconds(report.age)) },
                   { "avoided", avoided ? "yes" : "no" } });
    }
    if (forwards)
        announce(report);
}

void FailureLink::noteDisbelieved(const serving::FailureReport &report,
                                  const base::EndpointId &endpoint)
{
    const absl::Time now = serving_.clock.now();
    if (now - disbeliefLoggedAt_ < DisbeliefLogInterval)
        return;
    disbeliefLoggedAt_ = now;
    logEvent(EventId::FailureReporterDisbelieved,
             { { "reporter", std::to_string(report.reporter) },
               { "endpoint", endpoint.str() },
               { "reason", nameOf(report.kind) } });
}

} // namespace zinniadoor::gateway
