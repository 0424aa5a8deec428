#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>

#include "zinniadoor/base/clock.hpp"
#include "zinniadoor/base/ring.hpp"
#include "zinniadoor/control/snapshot.hpp"
#include "zinniadoor/daemon/core_messages.hpp"
#include "zinniadoor/ports/log.hpp"

namespace zinniadoor::daemon {

/// Reads the platform's log on its own thread, one page for each request of the core.
class LogTail
{
public:
    struct Options
    {
        absl::Duration wait = absl::Seconds(1); ///< Maximum duration of a long poll.
    };

    LogTail(Options options, std::unique_ptr<ports::Log> log, const base::Clock &clock,
            CoreRing &core);
    ~LogTail();
    LogTail(const LogTail &) = delete;
    LogTail &operator=(const LogTail &) = delete;

    /// Requests a page; posts one LogPageRead or LogReadFailed to the core.
    void read(const control::ReplayRead &request);

private:
    void run();
    void post(CoreMessage message);

    const Options options_;
    const std::unique_ptr<ports::Log> log_;
    const base::Clock &clock_;
    CoreRing &core_;
    base::Ring<control::ReplayRead> requests_;
    std::atomic<bool> stopping_ { false };
    std::thread thread_;
};

/// An encoded frame to append.
struct AppendRequest
{
    std::uint64_t sequence = 0;
    std::string bytes;
};

/// Appends to the platform's log on its own thread, one frame at a time.
class LogAppender
{
public:
    LogAppender(std::unique_ptr<ports::Log> log, CoreRing &core);
    ~LogAppender();
    LogAppender(const LogAppender &) = delete;
    LogAppender &operator=(const LogAppender &) = delete;

    /// Returns false if the queue is full; otherwise posts one LogAppendCompleted to the core.
    bool append(AppendRequest request);

private:
    void run();

    const std::unique_ptr<ports::Log> log_;
    CoreRing &core_;
    base::Ring<AppendRequest> requests_;
    std::atomic<bool> stopping_ { false };
    std::thread thread_;
};

} // namespace zinniadoor::daemon
