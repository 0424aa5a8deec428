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

/// Generous: a test that waits this long has failed.
constexpr absl::Duration DefaultPatience = absl::Seconds(20);

/// Tries `predicate` until it holds; false when it does not within `patience`.
bool waitUntil(const std::function<bool()> &predicate, absl::Duration patience = DefaultPatience);

struct ExitStatus
{
    std::optional<int> code; ///< Of an ordinary exit.
    int signal = 0; ///< That ended the process; 0 for an ordinary exit.
};

/// A child process of the test. Its destruction kills the child; its standard input ends when the
/// test program does, however that ends.
class Process
{
public:
    struct Options
    {
        std::string program;
        std::vector<std::string> arguments;
        std::string errorFile; ///< Gets standard error; empty: the test's own.
    };

    /// Ends the test program when the child cannot be started.
    explicit Process(const Options &options);
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;
    ~Process();

    pid_t pid() const { return pid_; }

    /// Waits for an output line `<name> <value>` and returns its value; nothing when the output
    /// ends or `patience` does.
    std::optional<std::string> waitForLine(const std::string &name,
                                           absl::Duration patience = DefaultPatience);

    /// All lines of standard output so far.
    std::vector<std::string> output() const;

    void closeInput(); ///< Ends the child's standard input.
    void terminate(); ///< SIGTERM
    void kill(); ///< SIGKILL
    void freeze(); ///< SIGSTOP; returns once the process has stopped.
    void thaw(); ///< SIGCONT

    /// Nothing when the child still runs after `patience`.
    std::optional<ExitStatus> wait(absl::Duration patience = DefaultPatience);
    bool isRunning();

private:
    void readOutput(int pipe);
    void send(int signal);
    bool reap();

    pid_t pid_ = -1;
    int input_ = -1; ///< The writing end of the child's standard input.
    std::thread reader_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<std::string> lines_;
    bool outputEnded_ = false;
    std::optional<ExitStatus> exit_;
};

} // namespace zinniadoor::e2e
