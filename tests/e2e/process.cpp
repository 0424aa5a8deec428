#include "process.hpp"

#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include "absl/time/clock.h"

extern char **environ;

namespace zinniadoor::e2e {
namespace {

constexpr absl::Duration PollInterval = absl::Milliseconds(5);

[[noreturn]] void fail(const std::string &what)
{
    std::perror(what.c_str());
    std::abort();
}

std::vector<char *> argumentVector(const Process::Options &options)
{
    std::vector<char *> out;
    out.push_back(const_cast<char *>(options.program.c_str()));
    for (const std::string &argument : options.arguments)
        out.push_back(const_cast<char *>(argument.c_str()));
    out.push_back(nullptr);
    return out;
}

pid_t spawn(const Process::Options &options, int input, int output)
{
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, input, STDIN_FILENO);
    posix_spawn_file_actions_adddup2(&actions, output, STDOUT_FILENO);
    if (!options.errorFile.empty()) {
        posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, options.errorFile.c_str(),
                                         O_WRONLY | O_CREAT | O_APPEND, 0600);
    }
    // The child must not inherit the signal dispositions and mask of the test program.
    posix_spawnattr_t attributes;
    posix_spawnattr_init(&attributes);
    sigset_t none;
    sigset_t all;
    sigemptyset(&none);
    sigfillset(&all);
    posix_spawnattr_setsigmask(&attributes, &none);
    posix_spawnattr_setsigdefault(&attributes, &all);
    posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK | POSIX_SPAWN_SETSIGDEF);
    pid_t pid = -1;
    const int error = posix_spawn(&pid, options.program.c_str(), &actions, &attributes,
                                  argumentVector(options).data(), environ);
    posix_spawnattr_destroy(&attributes);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
        errno = error;
        fail("cannot start " + options.program);
    }
    return pid;
}

ExitStatus exitStatusOf(int status)
{
    ExitStatus out;
    if (WIFEXITED(status))
        out.code = WEXITSTATUS(status);
    else if (WIFSIGNALED(status))
        out.signal = WTERMSIG(status);
    return out;
}

} // namespace

bool waitUntil(const std::function<bool()> &predicate, absl::Duration timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + absl::ToChronoNanoseconds(timeout);
    while (!predicate()) {
        if (std::chrono::steady_clock::now() >= deadline)
            return false;
        absl::SleepFor(PollInterval);
    }
    return true;
}

Process::Process(const Options &options)
{
    int input[2];
    int output[2];
    if (pipe2(input, O_CLOEXEC) != 0 || pipe2(output, O_CLOEXEC) != 0)
        fail("pipe2");
    pid_ = spawn(options, input[0], output[1]);
    close(input[0]);
    close(output[1]);
    input_ = input[1];
    reader_ = std::thread([this, end = output[0]] { readOutput(end); });
}

Process::~Process()
{
    kill();
    wait();
    closeInput();
    reader_.join();
}

std::optional<std::string> Process::waitForLine(const std::string &name, absl::Duration timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + absl::ToChronoNanoseconds(timeout);
    const std::string prefix = name + " ";
    std::unique_lock lock(mutex_);
    for (std::size_t seen = 0;;) {
        for (; seen < lines_.size(); ++seen) {
            if (lines_[seen].rfind(prefix, 0) == 0)
                return lines_[seen].substr(prefix.size());
        }
        if (outputEnded_ || changed_.wait_until(lock, deadline) == std::cv_status::timeout)
            return std::nullopt;
    }
}

std::vector<std::string> Process::output() const
{
    const std::lock_guard lock(mutex_);
    return lines_;
}

void Process::closeInput()
{
    if (input_ >= 0)
        close(input_);
    input_ = -1;
}

void Process::terminate()
{
    send(SIGTERM);
}

void Process::kill()
{
    send(SIGKILL);
}

void Process::freeze()
{
    send(SIGSTOP);
    siginfo_t info {};
    // Without WNOWAIT, the stop status is consumed, so that `wait` sees only the exit.
    while (isRunning() && waitid(P_PID, static_cast<id_t>(pid_), &info, WSTOPPED) != 0) {
        if (errno != EINTR)
            break;
    }
}

void Process::thaw()
{
    send(SIGCONT);
}

std::optional<ExitStatus> Process::wait(absl::Duration timeout)
{
    waitUntil([this] { return reap(); }, timeout);
    return exit_;
}

bool Process::isRunning()
{
    return !reap();
}

void Process::send(int signal)
{
    // After the child is reaped, its pid may be reused by another process.
    if (!reap())
        ::kill(pid_, signal);
}

/// Collects the exit status if the child has exited. Returns whether it has.
bool Process::reap()
{
    if (exit_)
        return true;
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) != pid_)
        return false;
    exit_ = exitStatusOf(status);
    return true;
}

void Process::readOutput(int pipe)
{
    std::string pending;
    char block[4096];
    for (;;) {
        const ssize_t size = read(pipe, block, sizeof block);
        if (size < 0 && errno == EINTR)
            continue;
        if (size <= 0)
            break;
        pending.append(block, static_cast<std::size_t>(size));
        const std::lock_guard lock(mutex_);
        for (std::size_t end = pending.find('\n'); end != std::string::npos;
             end = pending.find('\n')) {
            lines_.push_back(pending.substr(0, end));
            pending.erase(0, end + 1);
        }
        changed_.notify_all();
    }
    close(pipe);
    const std::lock_guard lock(mutex_);
    outputEnded_ = true;
    changed_.notify_all();
}

} // namespace zinniadoor::e2e
