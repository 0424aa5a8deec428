#pragma once

#include <string>

#include "zinniadoor/base/outcome.hpp"

namespace zinniadoor::ctl {

/// Sends a GET request to an instance's admin address and returns the response body. Fails for
/// every status other than 200.
base::Outcome<std::string> getAdmin(const std::string &url, const std::string &path);

} // namespace zinniadoor::ctl
