#include "zinniadoor/gateway/crash_report_link.hpp"

#include "zinniadoor/base/codec.hpp"
#include "zinniadoor/gateway/peer_message.hpp"

namespace zinniadoor::gateway {

namespace {

/// Number of crashes that are sent again. The first number allows for the sound bodies that were in
/// flight beside harmful ones.
constexpr std::size_t MaxResent = 60;
constexpr std::size_t MaxRepeated = 12;

} // namespace

CrashReportLink::CrashReportLink(boost::asio::io_context &io, const ProcessName &self,
                                 ServingContext &serving, Send send)
    : timer_(io)
    , self_(self)
    , serving_(serving)
    , send_(std::move(send))
{ }

void CrashReportLink::announce(const serving::CrashReports &reports)
{
    if (reports.empty())
        return;
    queue_.push(reports, serving_.clock.now());
    sendQueued();
}

void CrashReportLink::resend()
{
    const absl::Time now = serving_.clock.now();
    queue_.pushAgain(serving_.bodyCrashes.entries(now, MaxResent), now);
    sendQueued();
}

void CrashReportLink::repeat()
{
    const absl::Time now = serving_.clock.now();
    queue_.pushOnce(serving_.bodyCrashes.entries(now, MaxRepeated), now);
    sendQueued();
}

base::Status CrashReportLink::receive(const std::string &bytes, bool forwards)
{
    const auto message = base::decode<BodyReportsMessage>(bytes);
    if (!message)
        return message.lastReason();
    if (message->sender == self_)
        return base::Done {};
    const serving::CrashEvidence::Merged merged
        = serving_.bodyCrashes.merge(message->reports, serving_.clock.now());
    announce(merged.reply);
    if (forwards)
        announce(merged.news);
    return base::Done {};
}

void CrashReportLink::sendQueued()
{
    if (!waiting_)
        sendDue();
}

void CrashReportLink::sendDue()
{
    BodyReportsMessage message;
    message.sender = self_;
    message.reports = queue_.take(serving_.clock.now());
    waiting_ = !message.reports.empty();
    if (!waiting_)
        return;
    send_(base::encode(message));
    timer_.expires_after(absl::ToChronoMilliseconds(Interval));
    timer_.async_wait([this](boost::system::error_code error) {
        if (!error)
            sendDue();
    });
}

} // namespace zinniadoor::gateway
