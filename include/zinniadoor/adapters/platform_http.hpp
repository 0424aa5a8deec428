#pragma once

#include <functional>
#include <memory>
#include <string>

#include "absl/time/time.h"

#include "zinniadoor/adapters/lease_guard.hpp"
#include "zinniadoor/ports/log.hpp"
#include "zinniadoor/ports/platform.hpp"

namespace zinniadoor::adapters {

struct PlatformOptions
{
    std::string baseUrl; ///< http://IP:port, without a path.
    absl::Duration timeout = absl::Seconds(2); ///< Of one call, beside what it waits for.
    std::function<void()> connected
        = nullptr; ///< Tests only: called between connecting and sending.
};

/// The platform's log. Calls block; for one thread at a time.
std::unique_ptr<ports::Log> httpLog(const PlatformOptions &options);

/// The platform's lagging list of instances. Calls block; for one thread at a time.
std::unique_ptr<ports::InstanceList> httpInstanceList(const PlatformOptions &options);

/// Usage reports. With a guard, which must outlive the object, nothing is sent once the guard
/// has expired; then `report` and the guard belong to one thread.
std::unique_ptr<ports::Billing> httpBilling(const PlatformOptions &options,
                                            LeaseGuard *guard = nullptr);

/// Orders to the platform's endpoint interface and to engines. Guard as with `httpBilling`.
std::unique_ptr<ports::EndpointOrders> httpEndpointOrders(const PlatformOptions &options,
                                                          LeaseGuard *guard = nullptr);

} // namespace zinniadoor::adapters
