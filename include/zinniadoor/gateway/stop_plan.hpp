#pragma once

#include "absl/time/time.h"

namespace zinniadoor::gateway {

/// Phases of a planned stop, as times after the stop signal.
struct StopPlan
{
    absl::Duration acceptance; ///< New requests are accepted until then; later ones are rejected.
    absl::Duration cut; ///< Requests in flight are ended.
};

/// `stopTime`: time from the stop signal until the platform kills the process.
StopPlan planStop(absl::Duration stopTime);

} // namespace zinniadoor::gateway
