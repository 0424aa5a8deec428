#pragma once

#include <memory>
#include <vector>

#include "zinniadoor/ctl/command.hpp"

namespace zinniadoor::ctl {

/// "keygen" and "key ...".
std::vector<std::unique_ptr<Command>> keyCommands();

} // namespace zinniadoor::ctl
