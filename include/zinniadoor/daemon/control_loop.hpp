#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"

#include "zinniadoor/base/clock.hpp"
#include "zinniadoor/control/frame_age_tracker.hpp"
#include "zinniadoor/control/frame_writer.hpp"
#include "zinniadoor/control/snapshot.hpp"
#include "zinniadoor/control/state.hpp"
#include "zinniadoor/daemon/core_messages.hpp"
#include "zinniadoor/daemon/log_threads.hpp"
#include "zinniadoor/daemon/metrics.hpp"
#include "zinniadoor/daemon/settings.hpp"

namespace zinniadoor::daemon {

/// Receives what the control loop reads from the log. Used on the core thread only.
class ControlObserver
{
public:
    virtual ~ControlObserver() = default;

    /// The configuration in force has changed; `bundle` leaves out the API keys withdrawn since its
    /// publication.
    virtual void onConfiguration(const control::Bundle &bundle) = 0;

    /// A frame of this process was read back from the log and applied.
    virtual void onOwnFrame(const control::Frame &frame, const control::ApplyResult &result) = 0;

    /// A page of the log, received at `readAt`, was applied.
    virtual void onApplied(absl::Time readAt) = 0;
};

/// Replays the platform's log and appends this instance's frames to it. Used on the core thread
/// only.
class ControlLoop : private control::ReplayObserver
{
public:
    struct Parts
    {
        const Settings &settings;
        const base::Clock &clock;
        LogTail &tail;
        LogAppender &appender;
        Metrics &metrics;
        ControlObserver &observer;
        std::string peerAddress; ///< At which peers reach this instance.
    };

    ControlLoop(Parts parts, control::Process self);

    /// Requests the first page of the log.
    void start();

    /// Queues a record for the next frame. Returns false if too many bytes are pending.
    bool append(const control::Record &record);

    void onRead(const LogPageRead &read);
    void onReadFailed(const LogReadFailed &failed);
    void onAppendCompleted(const LogAppendCompleted &completed);
    void tick(absl::Time now);

    /// Replaces the replayed state by one received from a peer and continues to read from there.
    /// Returns false, and changes nothing, if that is not newer.
    bool adoptState(control::State state);

    const control::State &state() const { return replayer_->state(); }
    const control::FrameAgeTracker &frameAges() const { return frameAges_; }
    const control::ConfirmedFrame &lastConfirmedFrame() const { return writer_.lastConfirmed(); }
    const control::Process &self() const { return self_; }

    /// Whether the log was recently read to its end.
    bool isCurrent(absl::Time now) const;

    /// Time of the last successful read of the log; infinite past before the first.
    absl::Time lastReadAt() const { return lastReadAt_; }

    /// Whether no record is pending and no append is in flight.
    bool isIdle() const { return writer_.isIdle(); }

private:
    void onApplied(const control::Frame &frame, base::Offset offset,
                   const control::ApplyResult &result) override;
    void onSnapshotLoaded(const control::State &state) override;
    void readNext();
    void appendInstanceStarted();
    void notifyConfiguration();

    Parts parts_;
    control::Process self_;
    std::unique_ptr<control::Replayer> replayer_;
    control::FrameAgeTracker frameAges_;
    control::FrameWriter writer_;
    bool startAppended_ = false;
    absl::Time readSentAt_ = absl::InfinitePast();
    absl::Time lastReadAt_ = absl::InfinitePast();
    absl::Time readToEndAt_ = absl::InfinitePast(); ///< When the log was last read to its end.
    std::string notifiedDigest_;
    std::size_t notifiedWithdrawals_ = 0;
};

} // namespace zinniadoor::daemon
