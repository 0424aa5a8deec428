#pragma once

#include <memory>
#include <string>

#include "absl/time/time.h"

#include "zinniadoor/ports/log.hpp"
#include "zinniadoor/ports/platform.hpp"

namespace zinniadoor::adapters {

struct PlatformOptions
{
    std::string baseUrl; ///< http://IP:port, without a path.
    absl::Duration timeout = absl::Seconds(2); ///< Of one call, beside what it waits for.
};

/// The platform's log. Calls block; for one thread at a time.
std::unique_ptr<ports::Log> httpLog(const PlatformOptions &options);

} // namespace zinniadoor::adapters
