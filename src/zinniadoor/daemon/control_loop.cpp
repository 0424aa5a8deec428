#include "zinniadoor/daemon/control_loop.hpp"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

#include "zinniadoor/base/events.hpp"

namespace zinniadoor::daemon {

namespace {

constexpr std::size_t MostRecordsPerFrame = 256;
constexpr absl::Duration SendAgainAfter = absl::Milliseconds(500);

control::Bundle withoutWithdrawnKeys(const control::ConfigurationChain &chain)
{
    control::Bundle bundle = *chain.bundle();
    for (control::Organisation &organisation : bundle.organisations) {
        std::vector<control::KeyRecord> &keys = organisation.keys;
        const auto isWithdrawn
            = [&chain](const control::KeyRecord &key) { return chain.isWithdrawn(key.id); };
        keys.erase(std::remove_if(keys.begin(), keys.end(), isWithdrawn), keys.end());
    }
    return bundle;
}

} // namespace

ControlLoop::ControlLoop(Parts parts, control::Process self)
    : parts_(parts)
    , self_(std::move(self))
{
    waiting_.emplace_back(introduction());
}

control::InstanceStarted ControlLoop::introduction() const
{
    control::InstanceStarted started;
    started.instance = self_.instance;
    started.incarnation = self_.incarnation;
    started.dataCentre = parts_.settings.dataCentre;
    started.peerAddress = absl::StrCat(parts_.settings.peers.ip, ":", parts_.settings.peers.port);
    return started;
}

void ControlLoop::start()
{
    parts_.tail.readAfter(state_.appliedThrough());
}

void ControlLoop::append(control::Record record)
{
    waiting_.push_back(std::move(record));
}

void ControlLoop::onRead(const LogRead &read)
{
    lastContact_ = read.readAt;
    for (const ports::LogEntry &entry : read.page.entries)
        apply(entry);
    if (state_.appliedThrough() >= read.page.lastOffset)
        caughtUp_ = true;
    if (!read.page.entries.empty()) {
        tellConfiguration();
        parts_.observer.onApplied();
    }
    parts_.tail.readAfter(state_.appliedThrough());
}

void ControlLoop::onUnreadable(const LogUnreadable &unreadable)
{
    base::logEvent(base::EventId::LogReadFailed, { { "reason", unreadable.reason.text } });
    parts_.tail.readAfter(state_.appliedThrough());
}

void ControlLoop::apply(const ports::LogEntry &entry)
{
    const base::Outcome<control::Frame> frame = control::decodeFrame(entry.data);
    if (!frame) {
        state_.skip(entry.offset);
        return;
    }
    const std::size_t rejectionsBefore = state_.configuration().rejections().size();
    state_.apply(*frame, entry.offset);
    if (state_.configuration().rejections().size() > rejectionsBefore) {
        const control::Rejection &rejection = state_.configuration().rejections().back();
        base::logEvent(
            base::EventId::BundleRejected,
            { { "offset", absl::StrCat(rejection.offset) }, { "reason", rejection.reason } });
    }
    noticeOwn(*frame);
}

void ControlLoop::noticeOwn(const control::Frame &frame)
{
    const bool mine = frame.writer == self_.instance && frame.incarnation == self_.incarnation;
    if (mine && flight_ && flight_->frame.sequence == frame.sequence)
        flight_.reset();
}

void ControlLoop::tellConfiguration()
{
    const control::ConfigurationChain &chain = state_.configuration();
    if (chain.bundle() == nullptr)
        return;
    const bool same
        = chain.digest() == toldDigest_ && chain.withdrawnKeys().size() == toldWithdrawn_;
    if (same)
        return;
    toldDigest_ = chain.digest();
    toldWithdrawn_ = chain.withdrawnKeys().size();
    base::logEvent(base::EventId::BundleApplied,
                   { { "version", absl::StrCat(chain.version()) }, { "digest", chain.digest() } });
    parts_.metrics.setBundleVersion(chain.version());
    parts_.observer.onConfiguration(withoutWithdrawnKeys(chain));
}

void ControlLoop::onAppended(const AppendEnded &ended)
{
    parts_.metrics.countLogAppend(ended.offset.hasValue(), flight_ ? flight_->bytes.size() : 0);
    if (!ended.offset)
        base::logEvent(base::EventId::LogAppendFailed,
                       { { "reason", ended.offset.lastReason().text } });
    if (!flight_ || flight_->frame.sequence != ended.sequence)
        return;
    // A frame is over only once it was read back. Appending it again is harmless: every reader
    // counts a frame's name once.
    flight_->sending = false;
    flight_->sendAgainAt = parts_.clock.now() + SendAgainAfter;
}

void ControlLoop::tick(absl::Time now)
{
    if (!caughtUp_)
        return;
    if (flight_) {
        const bool again = !flight_->sending && now >= flight_->sendAgainAt;
        if (again)
            flight_->sending = parts_.appender.append({ flight_->frame.sequence, flight_->bytes });
        return;
    }
    if (!waiting_.empty() || now >= nextFrameAt_)
        sendFrame(now);
}

void ControlLoop::sendFrame(absl::Time now)
{
    Flight flight;
    control::Frame &frame = flight.frame;
    frame.writer = self_.instance;
    frame.incarnation = self_.incarnation;
    frame.sequence = ++lastSequence_;
    frame.snapshotOffset = state_.snapshots().newest().firstPart;
    frame.bundleVersion = state_.configuration().version();
    while (!waiting_.empty() && frame.records.size() < MostRecordsPerFrame) {
        frame.records.push_back(std::move(waiting_.front()));
        waiting_.pop_front();
    }
    flight.bytes = control::encodeFrame(frame);
    flight.sending = parts_.appender.append({ frame.sequence, flight.bytes });
    flight.sendAgainAt = now;
    flight_ = std::move(flight);
    nextFrameAt_ = now + parts_.settings.control.heartbeat;
}

} // namespace zinniadoor::daemon
