#include <cstdint>
#include <exception>
#include <iostream>
#include <string>

#include <tclap/CmdLine.h>

#include "platform.hpp"

namespace {

using zinniadoor::standins::Platform;
using zinniadoor::standins::PlatformOptions;
using zinniadoor::standins::ServerOptions;
using Number = TCLAP::ValueArg<std::int64_t>;

constexpr std::int64_t DefaultWeightBytes = 1024;

/// The command line of the platform; leaves with a message when it is wrong.
struct PlatformCommand
{
    TCLAP::CmdLine line { "Stand-in for the platform." };
    Number port { "", "port", "Port on 127.0.0.1; 0 picks one.", false, 0, "n", line };
    Number retain { "", "retain", "Records kept in the log; 0: all.", false, 0, "n", line };
    Number appendDelay { "", "append-delay-ms", "Time of an append.", false, 0, "ms", line };
    Number listLag { "", "list-lag-ms", "Age of the instance list.", false, 0, "ms", line };
    Number appends { "", "appends-per-second", "0: unbounded.", false, 0, "n", line };
    TCLAP::ValueArg<std::string> fencing { "",     "fencing", "check or ignore.", false, "check",
                                           "mode", line };
    Number weightBytes { "",    "weight-bytes",     "Size of a model's weights.",
                         false, DefaultWeightBytes, "n",
                         line };
    Number weights { "",  "weights-per-second", "Reads of weights; 0: unbounded.", false, 0, "n",
                     line };

    TCLAP::SwitchArg exitWithInput { "", "exit-with-input", "Exit when standard input ends.",
                                     line };

    ServerOptions serverOptions()
    {
        return { static_cast<std::uint16_t>(port.getValue()), exitWithInput.getValue() };
    }

    PlatformOptions options()
    {
        PlatformOptions out;
        out.log.retain = retain.getValue();
        out.log.appendsPerSecond = appends.getValue();
        out.appendDelayMs = appendDelay.getValue();
        out.listLagMs = listLag.getValue();
        out.checksFencing = fencing.getValue() != "ignore";
        out.weightBytes = weightBytes.getValue();
        out.weightsPerSecond = weights.getValue();
        return out;
    }
};

} // namespace

int main(int argc, char **argv)
{
    try {
        PlatformCommand command;
        command.line.parse(argc, argv);
        Platform platform(command.options());
        return zinniadoor::standins::runServer(command.serverOptions(), platform);
    } catch (const std::exception &error) {
        std::cerr << error.what() << "\n";
        return 2;
    }
}
