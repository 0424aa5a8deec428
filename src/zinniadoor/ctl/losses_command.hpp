#pragma once

#include <memory>

#include "zinniadoor/ctl/command.hpp"

namespace zinniadoor::ctl {

/// The subcommand "losses".
std::unique_ptr<Command> lossesCommand();

} // namespace zinniadoor::ctl
