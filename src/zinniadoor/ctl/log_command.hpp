#pragma once

#include <memory>

#include "zinniadoor/ctl/command.hpp"

namespace zinniadoor::ctl {

/// "log tail".
std::unique_ptr<Command> logTailCommand();

} // namespace zinniadoor::ctl
