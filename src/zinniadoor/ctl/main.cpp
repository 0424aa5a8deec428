#include <csignal>
#include <string>
#include <vector>

#include <sodium.h>

#include "zinniadoor/ctl/command.hpp"
#include "zinniadoor/ctl/interrupt.hpp"

int main(int argc, char **argv)
{
    // A closed pipe then causes a failed write instead of ending the process.
    std::signal(SIGPIPE, SIG_IGN);
    zinniadoor::ctl::installInterruptHandler();
    if (sodium_init() < 0)
        return static_cast<int>(zinniadoor::ctl::ExitCode::Failed);
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    return static_cast<int>(zinniadoor::ctl::runTool(arguments));
}
