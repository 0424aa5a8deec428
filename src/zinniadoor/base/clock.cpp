#include "zinniadoor/base/clock.hpp"

#include <ctime>

namespace zinniadoor::base {

namespace {

class SystemClock : public Clock
{
public:
    // CLOCK_BOOTTIME rather than CLOCK_MONOTONIC: leases must also expire while the machine is
    // suspended.
    absl::Time now() const override { return read(CLOCK_BOOTTIME); }
    absl::Time wallTime() const override { return read(CLOCK_REALTIME); }

private:
    static absl::Time read(clockid_t id)
    {
        timespec value {};
        clock_gettime(id, &value);
        return absl::TimeFromTimespec(value);
    }
};

} // namespace

std::unique_ptr<Clock> systemClock()
{
    return std::make_unique<SystemClock>();
}

} // namespace zinniadoor::base
