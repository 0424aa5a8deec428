#include <iterator>

#include "bundle_commands.hpp"
#include "key_commands.hpp"
#include "losses_command.hpp"
#include "organisation_commands.hpp"
#include "status_commands.hpp"
#include "zinniadoor/ctl/command.hpp"

namespace zinniadoor::ctl {

std::vector<std::unique_ptr<Command>> allCommands()
{
    std::vector<std::unique_ptr<Command>> all;
    const auto addAll = [&all](std::vector<std::unique_ptr<Command>> commands) {
        std::move(commands.begin(), commands.end(), std::back_inserter(all));
    };
    addAll(bundleCommands());
    addAll(organisationCommands());
    addAll(keyCommands());
    addAll(statusCommands());
    all.push_back(lossesCommand());
    return all;
}

} // namespace zinniadoor::ctl
