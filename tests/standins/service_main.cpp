#include <cstdint>
#include <exception>
#include <iostream>
#include <string>

#include <tclap/CmdLine.h>

#include "service.hpp"

namespace {

using zinniadoor::standins::Service;
using Number = TCLAP::ValueArg<std::int64_t>;

} // namespace

int main(int argc, char **argv)
{
    try {
        TCLAP::CmdLine line("Stand-in for a plain service.");
        Number port("", "port", "Port on 127.0.0.1; 0: any free port.", false, 0, "n", line);
        TCLAP::ValueArg<std::string> id("", "id", "Id in responses.", false, "service", "text",
                                        line);
        Number delay("", "delay-ms", "Delay between execution and response.", false, 0, "ms", line);
        TCLAP::SwitchArg exitOnStdinClose("", "exit-with-input",
                                          "Exit at the end of standard input.", line);
        line.parse(argc, argv);
        Service service({ id.getValue(), delay.getValue() });
        return zinniadoor::standins::runServer(
            { static_cast<std::uint16_t>(port.getValue()), exitOnStdinClose.getValue() }, service);
    } catch (const std::exception &error) {
        std::cerr << error.what() << "\n";
        return 2;
    }
}
