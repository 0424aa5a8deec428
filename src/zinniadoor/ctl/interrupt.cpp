#include "zinniadoor/ctl/interrupt.hpp"

#include <csignal>

namespace zinniadoor::ctl {

namespace {

volatile std::sig_atomic_t interrupted = 0;

void onInterrupt(int)
{
    interrupted = 1;
}

} // namespace

void catchInterrupt()
{
    struct sigaction action = {};
    action.sa_handler = onInterrupt;
    // No restart of system calls, so that a read from the terminal ends too.
    action.sa_flags = static_cast<int>(SA_RESETHAND);
    sigaction(SIGINT, &action, nullptr);
}

bool isInterrupted()
{
    return interrupted != 0;
}

} // namespace zinniadoor::ctl
