#include "zinniadoor/daemon/control_loop.hpp"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

#include "zinniadoor/base/events.hpp"
#include "zinniadoor/control/attestation.hpp"
#include "zinniadoor/control/membership.hpp"

namespace zinniadoor::daemon {

namespace {

/// Longer than a long poll of the log: while nothing is appended, reads complete only that often.
constexpr absl::Duration MaxCurrentAge = absl::Milliseconds(2500);

control::FrameWriterOptions writerOptions(const Settings &settings, const control::Process &self)
{
    control::FrameWriterOptions options;
    options.self = self;
    options.appendsPerSecond = static_cast<double>(settings.control.appendsPerSecond);
    options.heartbeat = settings.control.heartbeat;
    return options;
}

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
    : parts_(std::move(parts))
    , self_(std::move(self))
    , replayer_(std::make_unique<control::Replayer>())
    , writer_(writerOptions(parts_.settings, self_))
{ }

void ControlLoop::start()
{
    readNext();
}

void ControlLoop::readNext()
{
    const control::ReplayRead next = replayer_->nextRead();
    readSentAt_ = parts_.clock.now();
    parts_.tail.read({ next.after, next.limit, next.mayWait });
}

bool ControlLoop::append(const control::Record &record)
{
    return writer_.add(record).hasValue();
}

void ControlLoop::onRead(const LogPageRead &read)
{
    lastReadAt_ = read.readAt;
    // A page requested before `adoptState` does not follow the adopted state.
    if (read.after == replayer_->nextRead().after)
        replayer_->onPage(read.page, *this);
    if (replayer_->caughtUp()) {
        readToEndAt_ = read.readAt;
        writer_.onReadToEnd(readSentAt_, read.readAt);
    }
    frameAges_.observe(state().instances(), read.readAt);
    appendInstanceStarted();
    notifyConfiguration();
    parts_.observer.onApplied(read.readAt);
    readNext();
}

void ControlLoop::onReadFailed(const LogReadFailed &failed)
{
    if (failed.reason.code == base::ReasonCode::Gone)
        replayer_->onLogTruncated();
    else
        base::logEvent(base::EventId::LogReadFailed, { { "reason", failed.reason.text } });
    readNext();
}

void ControlLoop::onApplied(const control::Frame &frame, base::Offset offset,
                            const control::ApplyResult &result)
{
    if (frame.writer == self_.instance && frame.incarnation == self_.incarnation) {
        writer_.onRead(frame.sequence, offset);
        parts_.observer.onOwnFrame(frame, result);
    }
    for (const control::Rejection &rejection : state().configuration().rejections()) {
        if (rejection.offset != offset)
            continue;
        base::logEvent(base::EventId::BundleRejected,
                       { { "offset", absl::StrCat(offset) }, { "reason", rejection.reason } });
    }
}

void ControlLoop::onSnapshotLoaded(const control::State &loaded)
{
    base::logEvent(base::EventId::SnapshotLoaded,
                   { { "through", absl::StrCat(loaded.appliedThrough()) } });
}

void ControlLoop::appendInstanceStarted()
{
    if (startAppended_ || !replayer_->caughtUp())
        return;
    startAppended_ = true;
    control::InstanceStarted started;
    started.instance = self_.instance;
    started.incarnation = self_.incarnation;
    started.dataCentre = parts_.settings.dataCentre;
    started.peerAddress = parts_.peerAddress;
    std::vector<control::ListedMember> others;
    for (const PeerSetting &peer : parts_.settings.configuredPeers)
        others.push_back({ peer.id, 0, peer.dataCentre });
    started.attestors = control::chooseAttestors(
        { self_.instance, self_.incarnation, parts_.settings.dataCentre }, others);
    append(started);
}

void ControlLoop::notifyConfiguration()
{
    const control::ConfigurationChain &chain = state().configuration();
    if (chain.bundle() == nullptr)
        return;
    const bool isUnchanged
        = chain.digest() == notifiedDigest_ && chain.withdrawnKeys().size() == notifiedWithdrawals_;
    if (isUnchanged)
        return;
    notifiedDigest_ = chain.digest();
    notifiedWithdrawals_ = chain.withdrawnKeys().size();
    base::logEvent(base::EventId::BundleApplied,
                   { { "version", absl::StrCat(chain.version()) }, { "digest", chain.digest() } });
    parts_.metrics.setBundleVersion(chain.version());
    parts_.observer.onConfiguration(withoutWithdrawnKeys(chain));
}

void ControlLoop::onAppendCompleted(const LogAppendCompleted &completed)
{
    parts_.metrics.countLogAppend(completed.offset.hasValue(), completed.bytes);
    if (!completed.offset)
        base::logEvent(base::EventId::LogAppendFailed,
                       { { "reason", completed.offset.lastReason().text } });
    writer_.onAppended(completed.sequence, completed.offset, parts_.clock.now());
}

void ControlLoop::tick(absl::Time now)
{
    if (!startAppended_)
        return;
    const control::FrameHeader header { state().snapshots().newest().firstPart,
                                        state().configuration().version() };
    const std::size_t live
        = frameAges_.liveProcesses(state().instances(), parts_.settings.control.lease, now).size();
    std::optional<control::OutgoingFrame> frame
        = writer_.next(header, std::max<std::size_t>(live, 1), now);
    if (!frame)
        return;
    const std::uint64_t sequence = frame->sequence;
    if (parts_.appender.append({ sequence, std::move(frame->bytes) }))
        return;
    const base::Reason full { base::ReasonCode::Unavailable, "queue of the append thread is full" };
    writer_.onAppended(sequence, full, now);
}

bool ControlLoop::adoptState(control::State newState)
{
    if (newState.appliedThrough() <= state().appliedThrough())
        return false;
    replayer_ = std::make_unique<control::Replayer>(std::move(newState));
    notifyConfiguration();
    return true;
}

bool ControlLoop::isCurrent(absl::Time now) const
{
    return now - readToEndAt_ < MaxCurrentAge;
}

} // namespace zinniadoor::daemon
