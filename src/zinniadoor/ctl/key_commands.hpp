#pragma once

#include <memory>
#include <vector>

#include "zinniadoor/ctl/command.hpp"

namespace zinniadoor::ctl {

/// The subcommand "keygen" and those of "key".
std::vector<std::unique_ptr<Command>> keyCommands();

} // namespace zinniadoor::ctl
