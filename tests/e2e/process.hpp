#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <sys/types.h>

#include "absl/time/time.h"

namespace zinniadoor::e2e {

/// Long enough that a test which reaches it counts as failed.
constexpr absl::Duration DefaultTimeout = absl::Seconds(20);

/// Polls `predicate` until it holds. Returns false on time-out.
bool waitUntil(const std::function<bool()> &predicate, absl::Duration timeout = DefaultTimeout);

struct ExitStatus
{
    std::optional<int> code; ///< Exit code; empty if a signal ended the process.
    int signal = 0; ///< Signal that ended the process, or 0.
};

/// A child process of the test program. The destructor kills it. Its standard input is a pipe that
/// closes when the test program ends, also by a crash, so that stand-ins can exit then.
class Process
{
public:
    struct Options
    {
        std::string program;
        std::vector<std::string> arguments;
        std::string errorFile; ///< Receives standard error; if empty, it is inherited.
    };

    /// Aborts the test program if the child cannot be started.
    explicit Process(const Options &options);
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;
    ~Process();

    pid_t pid() const { return pid_; }

    /// Waits for an output line `<name> <value>` and returns the value, or nothing if the output
    /// ends or the time-out expires first.
    std::optional<std::string> waitForLine(const std::string &name,
                                           absl::Duration timeout = DefaultTimeout);

    /// Lines of standard output so far.
    std::vector<std::string> output() const;

    void closeInput(); ///< Closes the child's standard input.
    void terminate(); ///< SIGTERM
    void kill(); ///< SIGKILL
    void freeze(); ///< SIGSTOP; returns once the process has stopped.
    void thaw(); ///< SIGCONT

    /// Waits for the exit. Nothing if the child still runs after `timeout`.
    std::optional<ExitStatus> wait(absl::Duration timeout = DefaultTimeout);
    bool isRunning();

private:
    void readOutput(int pipe);
    void send(int signal);
    bool reap();

    pid_t pid_ = -1;
    int input_ = -1; ///< Write end of the child's standard input.
    std::thread reader_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<std::string> lines_;
    bool outputEnded_ = false;
    std::optional<ExitStatus> exit_;
};

} // namespace zinniadoor::e2e
