#pragma once

#include <memory>

#include "absl/time/time.h"

namespace zinniadoor::base {

/// Source of time. `now` never goes back and keeps counting while the machine is suspended.
class Clock
{
public:
    virtual ~Clock() = default;

    /// Monotonic time; its zero point is arbitrary, so only differences mean anything.
    virtual absl::Time now() const = 0;

    /// Calendar time, for usage windows, logs and dated idempotency keys.
    virtual absl::Time wallTime() const = 0;
};

/// The machine's clocks (CLOCK_BOOTTIME and CLOCK_REALTIME).
std::unique_ptr<Clock> systemClock();

} // namespace zinniadoor::base
