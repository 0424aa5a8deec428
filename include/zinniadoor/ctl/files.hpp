#pragma once

#include <string>

#include "zinniadoor/base/outcome.hpp"

namespace zinniadoor::ctl {

/// Reads a whole file; "-" is standard input.
base::Outcome<std::string> readFile(const std::string &path);

/// Replaces a file atomically: it holds either the old or the new content. "-" is standard output.
base::Status writeFile(const std::string &path, const std::string &content);

/// Like `writeFile`, with access for the owner only.
base::Status writeSecretFile(const std::string &path, const std::string &content);

} // namespace zinniadoor::ctl
