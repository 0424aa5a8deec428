#pragma once

#include <memory>

#include "zinniadoor/ctl/command.hpp"

namespace zinniadoor::ctl {

/// The subcommand "log tail".
std::unique_ptr<Command> logTailCommand();

} // namespace zinniadoor::ctl
