#pragma once

#include <memory>

#include "absl/time/time.h"

namespace zinniadoor::base {

/// Source of time.
class Clock
{
public:
    virtual ~Clock() = default;

    /// Monotonic time that also advances while the machine is suspended. Its epoch is arbitrary:
    /// only differences are meaningful.
    virtual absl::Time now() const = 0;

    /// Wall-clock time, for usage windows, logs and dated idempotency keys.
    virtual absl::Time wallTime() const = 0;
};

/// The clocks of the operating system (CLOCK_BOOTTIME and CLOCK_REALTIME).
std::unique_ptr<Clock> systemClock();

} // namespace zinniadoor::base
