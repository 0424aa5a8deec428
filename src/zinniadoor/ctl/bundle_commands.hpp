#pragma once

#include <memory>
#include <vector>

#include "zinniadoor/ctl/command.hpp"

namespace zinniadoor::ctl {

/// The subcommands of "bundle".
std::vector<std::unique_ptr<Command>> bundleCommands();

} // namespace zinniadoor::ctl
