#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"

#include "zinniadoor/base/clock.hpp"
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

    /// Some frames were applied.
    virtual void onApplied() = 0;
};

/// Follows the platform's log and writes this instance's frames to it. For the core thread.
class ControlLoop
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
    };

    ControlLoop(Parts parts, control::Process self);

    /// Begins to read.
    void start();

    /// The records are appended with the next frame.
    void append(control::Record record);

    void onRead(const LogRead &read);
    void onUnreadable(const LogUnreadable &unreadable);
    void onAppended(const AppendEnded &ended);
    void tick(absl::Time now);

    const control::State &state() const { return state_; }
    const control::Process &self() const { return self_; }

    /// All that was in the log has been applied at least once.
    bool hasCaughtUp() const { return caughtUp_; }

    /// When the log last answered a read; the past before the first.
    absl::Time lastContact() const { return lastContact_; }

private:
    struct Flight
    {
        control::Frame frame;
        std::string bytes;
        bool sending = false;
        absl::Time sendAgainAt;
    };

    void apply(const ports::LogEntry &entry);
    void noticeOwn(const control::Frame &frame);
    void tellConfiguration();
    void sendFrame(absl::Time now);
    control::InstanceStarted introduction() const;

    Parts parts_;
    control::Process self_;
    control::State state_;
    std::deque<control::Record> waiting_;
    std::optional<Flight> flight_;
    std::uint64_t lastSequence_ = 0;
    absl::Time nextFrameAt_ = absl::InfinitePast();
    bool caughtUp_ = false;
    absl::Time lastContact_ = absl::InfinitePast();
    std::string toldDigest_;
    std::size_t toldWithdrawn_ = 0;
};

} // namespace zinniadoor::daemon
