#include "zinniadoor/ctl/interrupt.hpp"

#include <csignal>

namespace zinniadoor::ctl {

namespace {

volatile std::sig_atomic_t interruptReceived = 0;

void onInterrupt(int)
{
    interruptReceived = 1;
}

} // namespace

void installInterruptHandler()
{
    struct sigaction action = {};
    action.sa_handler = onInterrupt;
    // Without SA_RESTART, so that a blocking read from the terminal is interrupted too.
    action.sa_flags = static_cast<int>(SA_RESETHAND);
    sigaction(SIGINT, &action, nullptr);
}

bool isInterrupted()
{
    return interruptReceived != 0;
}

} // namespace zinniadoor::ctl
