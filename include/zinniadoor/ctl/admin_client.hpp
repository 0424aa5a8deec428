#pragma once

#include <string>

#include "zinniadoor/base/outcome.hpp"

namespace zinniadoor::ctl {

/// Body of a GET on an instance's admin address; fails for anything but status 200.
base::Outcome<std::string> getAdmin(const std::string &url, const std::string &path);

} // namespace zinniadoor::ctl
