#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <string>

#include <sodium.h>
#include <tclap/CmdLine.h>

#include "zinniadoor/base/events.hpp"
#include "zinniadoor/daemon/daemon.hpp"
#include "zinniadoor/daemon/settings.hpp"

#include "gateway_main.hpp"

namespace {

constexpr int ExitOk = 0;
constexpr int ExitFailed = 1;
constexpr int ExitUsage = 2;

struct CommandLine
{
    std::string config;
    bool checkOnly = false;
    bool gateway = false;
};

/// Fills in `line`; returns an exit code if the process should exit instead.
std::optional<int> readCommandLine(int argc, char **argv, CommandLine &line)
{
    TCLAP::CmdLine parser("zinniadoor's daemon: runs one instance", ' ', "0.1.0");
    parser.setExceptionHandling(false);
    TCLAP::ValueArg<std::string> config("c", "config", "settings file", true, "", "FILE", parser);
    TCLAP::SwitchArg gateway(
        "", "gateway", "run as a gateway on the operators' platform (docs/PLATFORM.md)", parser);
    TCLAP::SwitchArg check("", "check", "validate the settings file and exit", parser);
    try {
        parser.parse(argc, argv);
    } catch (const TCLAP::ExitException &exit) {
        return exit.getExitStatus();
    } catch (const TCLAP::ArgException &error) {
        std::cerr << "zinniadoord: " << error.error() << " " << error.argId() << "\n";
        return ExitUsage;
    }
    line.config = config.getValue();
    line.checkOnly = check.getValue();
    line.gateway = gateway.getValue();
    return std::nullopt;
}

/// Blocks the stop signals in this thread and all threads started later, so that only `sigwait`
/// receives them.
sigset_t blockStopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

int serve(const zinniadoor::daemon::Settings &settings, const sigset_t &signals)
{
    auto daemon = zinniadoor::daemon::startDaemon(settings);
    if (!daemon) {
        std::cerr << "zinniadoord: " << daemon.lastReason().text << "\n";
        return ExitFailed;
    }
    std::cout << "listen callers " << (*daemon)->callersPort() << "\n"
              << "listen admin " << (*daemon)->adminPort() << "\n"
              << "listen peers " << (*daemon)->peersPort() << std::endl;
    int signal = 0;
    sigwait(&signals, &signal);
    (*daemon)->stop();
    return ExitOk;
}

} // namespace

int main(int argc, char **argv)
{
    CommandLine line;
    if (const std::optional<int> exitCode = readCommandLine(argc, argv, line))
        return *exitCode;
    if (line.gateway) {
        const int exitCode = zinniadoor::daemon::gatewayMain(line.config, line.checkOnly);
        // Skips the static destructors: that of log4cplus waits for its threads, which may not end
        // before the platform kills the process.
        std::quick_exit(exitCode);
    }
    const sigset_t signals = blockStopSignals();
    const auto settings = zinniadoor::daemon::loadSettings(line.config);
    if (!settings) {
        std::cerr << settings.lastReason().text << "\n";
        return ExitUsage;
    }
    if (line.checkOnly)
        return ExitOk;
    if (sodium_init() < 0)
        return ExitFailed;
    zinniadoor::base::startLogging(settings->log);
    return serve(*settings, signals);
}
