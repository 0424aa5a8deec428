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

/// Command line of the platform. Parsing exits with a message on an invalid argument.
struct PlatformCommand
{
    TCLAP::CmdLine line { "Stand-in for the platform." };
    Number port { "", "port", "Port on 127.0.0.1; 0: any free port.", false, 0, "n", line };
    Number retain { "", "retain", "Records retained in the log; 0: all.", false, 0, "n", line };
    Number appendDelay { "", "append-delay-ms", "Duration of an append.", false, 0, "ms", line };
    Number listLag { "", "list-lag-ms", "Staleness of the instance list.", false, 0, "ms", line };
    Number appends { "", "appends-per-second", "Append rate; 0: unlimited.", false, 0, "n", line };
    TCLAP::ValueArg<std::string> fencing { "",    "fencing", "check or ignore fencing numbers.",
                                           false, "check",   "mode",
                                           line };
    Number weightBytes { "",    "weight-bytes",     "Size of a model's weights in bytes.",
                         false, DefaultWeightBytes, "n",
                         line };
    Number weights {
        "", "weights-per-second", "Rate of weight downloads; 0: unlimited.", false, 0, "n", line
    };

    TCLAP::SwitchArg exitOnStdinClose { "", "exit-with-input", "Exit at the end of standard input.",
                                        line };

    ServerOptions serverOptions()
    {
        return { static_cast<std::uint16_t>(port.getValue()), exitOnStdinClose.getValue() };
    }

    PlatformOptions options()
    {
        PlatformOptions out;
        out.log.retain = retain.getValue();
        out.log.appendsPerSecond = appends.getValue();
        out.appendDelayMs = appendDelay.getValue();
        out.listLagMs = listLag.getValue();
        out.enforceFencing = fencing.getValue() != "ignore";
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
