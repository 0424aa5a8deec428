#include "zinniadoor/ctl/command.hpp"

#include <iostream>

#include "absl/strings/str_format.h"
#include "absl/strings/str_split.h"

namespace zinniadoor::ctl {

namespace {

void printHelp(std::ostream &out, const std::vector<std::unique_ptr<Command>> &commands)
{
    out << "usage: zinniadoorctl COMMAND [OPTIONS]\n"
        << "       zinniadoorctl COMMAND --help\n\ncommands:\n";
    for (const auto &command : commands)
        out << absl::StrFormat("  %-18s %s\n", command->name(), command->brief());
    out << "\nexit codes: 0 done, 1 failed without effect, 2 invalid arguments or file,\n"
        << "            3 outcome unknown, 4 not confirmed by every instance, or some did not "
           "respond\n";
}

bool beginsWith(const std::vector<std::string> &arguments, const std::vector<std::string> &words)
{
    if (arguments.size() < words.size())
        return false;
    return std::equal(words.begin(), words.end(), arguments.begin());
}

} // namespace

ExitCode runTool(const std::vector<std::string> &arguments)
{
    const std::vector<std::unique_ptr<Command>> commands = allCommands();
    if (arguments.empty()) {
        printHelp(std::cerr, commands);
        return ExitCode::Usage;
    }
    if (arguments[0] == "--help" || arguments[0] == "-h" || arguments[0] == "help") {
        printHelp(std::cout, commands);
        return ExitCode::Ok;
    }
    for (const auto &command : commands) {
        const std::vector<std::string> words = absl::StrSplit(command->name(), ' ');
        if (!beginsWith(arguments, words))
            continue;
        const auto rest = arguments.begin() + static_cast<std::ptrdiff_t>(words.size());
        return command->run({ rest, arguments.end() });
    }
    std::cerr << "zinniadoorctl: no such command: " << arguments[0] << "\n\n";
    printHelp(std::cerr, commands);
    return ExitCode::Usage;
}

} // namespace zinniadoor::ctl
