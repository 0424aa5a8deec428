#include <iterator>

#include "bundle_commands.hpp"
#include "key_commands.hpp"
#include "zinniadoor/ctl/command.hpp"

namespace zinniadoor::ctl {

std::vector<std::unique_ptr<Command>> allCommands()
{
    std::vector<std::unique_ptr<Command>> all = keyCommands();
    std::vector<std::unique_ptr<Command>> bundle = bundleCommands();
    std::move(bundle.begin(), bundle.end(), std::back_inserter(all));
    return all;
}

} // namespace zinniadoor::ctl
