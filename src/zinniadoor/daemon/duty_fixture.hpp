#pragma once

// Test support: a control loop on an in-memory log.

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "absl/time/clock.h"

#include "zinniadoor/daemon/lease_manager.hpp"

namespace zinniadoor::daemon {

constexpr absl::Duration TestTimeout = absl::Seconds(20);

/// In-memory replacement of the platform's log, shared by the threads that read and append.
struct MemoryLog
{
    absl::Mutex mutex;
    std::vector<std::string> records;
};

class MemoryLogPort : public ports::Log
{
public:
    explicit MemoryLogPort(MemoryLog &log)
        : log_(log)
    { }

    base::Outcome<base::Offset> append(const std::string &data) override
    {
        const absl::MutexLock lock(&log_.mutex);
        log_.records.push_back(data);
        return log_.records.size();
    }

    base::Outcome<ports::LogPage> readAfter(base::Offset offset, std::size_t limit,
                                            absl::Duration) override
    {
        const absl::MutexLock lock(&log_.mutex);
        ports::LogPage page;
        page.firstOffset = log_.records.empty() ? 0 : 1;
        page.lastOffset = log_.records.size();
        for (base::Offset at = offset; at < log_.records.size() && page.entries.size() < limit;
             ++at)
            page.entries.push_back({ at + 1, log_.records[at] });
        return page;
    }

private:
    MemoryLog &log_;
};

/// A control loop and a lease manager on an in-memory log, driven by `runUntil`.
struct DutyFixture : private ControlObserver
{
    ~DutyFixture() override = default;

    DutyFixture()
    {
        settings.instance = base::InstanceId("entry-0");
        settings.control.heartbeat = absl::Milliseconds(20);
        settings.control.lease = absl::Minutes(1);
        settings.control.appendsPerSecond = 1000;
        control::LeaseTimes times;
        times.lease = settings.control.lease;
        times.margin = absl::Seconds(1);
        control = std::make_unique<ControlLoop>(
            ControlLoop::Parts { settings, *clock, tail, appender, metrics, *this, "127.0.0.1:1" },
            control::Process { settings.instance, 1 });
        leases = std::make_unique<LeaseManager>(*control, membership, times);
        control->start();
    }

    void onConfiguration(const control::Bundle &) override { }
    void onOwnFrame(const control::Frame &, const control::ApplyResult &) override { }
    void onApplied(absl::Time readAt) override { leases->onApplied(readAt); }

    template <typename Condition>
    bool runUntil(Condition condition)
    {
        const absl::Time end = absl::Now() + TestTimeout;
        while (absl::Now() < end && !condition()) {
            std::optional<CoreMessage> message = ring.pop(absl::Milliseconds(5));
            if (message)
                dispatch(*message);
            leases->tick(clock->now());
            onTick(clock->now());
            control->tick(clock->now());
        }
        return condition();
    }

    /// Called at every tick; for the components under test.
    virtual void onTick(absl::Time) { }

    void dispatch(const CoreMessage &message)
    {
        if (const auto *read = std::get_if<LogPageRead>(&message))
            control->onRead(*read);
        if (const auto *completed = std::get_if<LogAppendCompleted>(&message))
            control->onAppendCompleted(*completed);
    }

    bool holds(const std::string &scope) const
    {
        const control::LeaseController *lease = leases->find(scope);
        return lease != nullptr && lease->holds();
    }

    bool isHeldInLog(const std::string &scope) const
    {
        const control::Lease *lease = control->state().leases().find(scope);
        return lease != nullptr && lease->isHeld();
    }

    /// Whether this process has read back a frame of its own at more than three entries after
    /// `offset`.
    bool hasConfirmedFramesAfter(base::Offset offset) const
    {
        return control->lastConfirmedFrame().offset > offset + 3;
    }

    MemoryLog log;
    std::unique_ptr<base::Clock> clock = base::systemClock();
    Settings settings;
    Metrics metrics;
    CoreRing ring { 1024 };
    LogTail tail { {}, std::make_unique<MemoryLogPort>(log), *clock, ring };
    LogAppender appender { std::make_unique<MemoryLogPort>(log), ring };
    control::Membership membership { {} };
    std::unique_ptr<ControlLoop> control;
    std::unique_ptr<LeaseManager> leases;
};

} // namespace zinniadoor::daemon
