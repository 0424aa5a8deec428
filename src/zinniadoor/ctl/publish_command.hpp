#pragma once

#include <memory>

#include "absl/time/time.h"

#include "zinniadoor/control/records.hpp"
#include "zinniadoor/ctl/command.hpp"

namespace zinniadoor::ctl {

/// "bundle publish".
std::unique_ptr<Command> bundlePublishCommand();

/// Appends a configuration record and says on the standard streams whether it took effect;
/// then waits up to `wait` until every instance that has not stopped has written a frame that
/// came after it and, for a bundle, carries its version.
ExitCode publishRecord(const control::Record &record, const std::string &platform,
                       absl::Duration wait);

} // namespace zinniadoor::ctl
