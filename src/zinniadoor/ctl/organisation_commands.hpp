#pragma once

#include <memory>
#include <vector>

#include "zinniadoor/ctl/command.hpp"

namespace zinniadoor::ctl {

/// The subcommands of "org" and "endpoint".
std::vector<std::unique_ptr<Command>> organisationCommands();

} // namespace zinniadoor::ctl
