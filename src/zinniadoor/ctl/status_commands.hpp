#pragma once

#include <memory>
#include <vector>

#include "zinniadoor/ctl/command.hpp"

namespace zinniadoor::ctl {

/// The subcommands "status", "burn" and "log tail".
std::vector<std::unique_ptr<Command>> statusCommands();

} // namespace zinniadoor::ctl
