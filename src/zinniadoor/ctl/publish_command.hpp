#pragma once

#include <memory>

#include "absl/time/time.h"

#include "zinniadoor/control/records.hpp"
#include "zinniadoor/ctl/command.hpp"

namespace zinniadoor::ctl {

/// The subcommand "bundle publish".
std::unique_ptr<Command> bundlePublishCommand();

/// Appends a configuration record and prints whether it took effect. Then waits up to `wait` for
/// every instance that has not stopped to confirm it: with a frame that follows the record and
/// carries at least the bundle version active after it.
ExitCode publishRecord(const control::Record &record, const std::string &platform,
                       absl::Duration wait);

} // namespace zinniadoor::ctl
