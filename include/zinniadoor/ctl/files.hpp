#pragma once

#include <string>

#include "zinniadoor/base/outcome.hpp"

namespace zinniadoor::ctl {

/// Whole content of a file; "-" reads standard input.
base::Outcome<std::string> readFile(const std::string &path);

/// Writes a file at once: either the old or the new content stands. "-" is standard output.
base::Status writeFile(const std::string &path, const std::string &content);

/// As `writeFile`, readable by the owner only.
base::Status writeSecretFile(const std::string &path, const std::string &content);

} // namespace zinniadoor::ctl
