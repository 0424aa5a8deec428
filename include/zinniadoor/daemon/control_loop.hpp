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

/// Told what the log brought. For the core thread.
class ControlObserver
{
public:
    virtual ~ControlObserver() = default;

    /// The configuration in force without the keys withdrawn since.
    virtual void onConfiguration(const control::Bundle &bundle) = 0;

    /// A frame of this process was read in the log and applied.
    virtual void onOwnFrame(const control::Frame &frame, const control::ApplyResult &result) = 0;

    /// Some frames were applied, read at `readAt`.
    virtual void onApplied(absl::Time readAt) = 0;
};

/// Follows the platform's log and writes this instance's frames to it. For the core thread.
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
        std::string peerAddress; ///< Where peers reach this instance.
    };

    ControlLoop(Parts parts, control::Process self);

    /// Begins to read.
    void start();

    /// The record is appended with the next frame. False while too much waits.
    bool append(const control::Record &record);

    void onRead(const LogRead &read);
    void onUnreadable(const LogUnreadable &unreadable);
    void onAppended(const AppendEnded &ended);
    void tick(absl::Time now);

    /// Goes on from a state that a peer gave, if it is newer than what was read.
    bool adopt(control::State state);

    const control::State &state() const { return replayer_->state(); }
    const control::FrameAgeTracker &watch() const { return watch_; }
    const control::ConfirmedFrame &lastSeenFrame() const { return writer_.lastConfirmed(); }
    const control::Process &self() const { return self_; }

    /// The log was read to its end a short time ago.
    bool isCurrent(absl::Time now) const;

    /// When the log last answered a read; the past before the first.
    absl::Time lastContact() const { return lastContact_; }

    /// Nothing waits to be appended or read back.
    bool isIdle() const { return writer_.isIdle(); }

private:
    void onApplied(const control::Frame &frame, base::Offset offset,
                   const control::ApplyResult &result) override;
    void onSnapshotLoaded(const control::State &state) override;
    void readNext();
    void introduce();
    void tellConfiguration();

    Parts parts_;
    control::Process self_;
    std::unique_ptr<control::Replayer> replayer_;
    control::FrameAgeTracker watch_;
    control::FrameWriter writer_;
    bool introduced_ = false;
    absl::Time readSentAt_ = absl::InfinitePast();
    absl::Time lastContact_ = absl::InfinitePast();
    absl::Time currentAt_ = absl::InfinitePast(); ///< When the log was last read to its end.
    std::string toldDigest_;
    std::size_t toldWithdrawn_ = 0;
};

} // namespace zinniadoor::daemon
