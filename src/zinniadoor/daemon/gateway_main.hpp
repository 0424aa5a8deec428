#pragma once

#include <string>

namespace zinniadoor::daemon {

/// Runs the gateway with the settings in `file` until SIGTERM or SIGINT, reloading them on SIGHUP;
/// with `checkOnly`, only validates them. Returns the exit code.
int gatewayMain(const std::string &file, bool checkOnly);

} // namespace zinniadoor::daemon
