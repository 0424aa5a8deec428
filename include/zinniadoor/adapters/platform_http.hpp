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
    std::string baseUrl; ///< http://IP:port without a path.
    absl::Duration timeout = absl::Seconds(2); ///< Per call, excluding a requested long-poll wait.
    /// For tests: called after connecting and before sending.
    std::function<void()> onConnected = nullptr;
};

/// Client of the platform's log. Calls block; not thread-safe.
std::unique_ptr<ports::Log> httpLog(const PlatformOptions &options);

/// Client of the platform's list of instances, which may be stale. Calls block; not thread-safe.
std::unique_ptr<ports::InstanceList> httpInstanceList(const PlatformOptions &options);

/// Client for usage reports. If `guard` is given, nothing is sent once it has expired. The guard
/// must outlive the client, and both must be used on the same thread.
std::unique_ptr<ports::Billing> httpBilling(const PlatformOptions &options,
                                            LeaseGuard *guard = nullptr);

/// Client for orders to the platform's endpoint interface and to engines. `guard` as for
/// `httpBilling`.
std::unique_ptr<ports::EndpointOrders> httpEndpointOrders(const PlatformOptions &options,
                                                          LeaseGuard *guard = nullptr);

} // namespace zinniadoor::adapters
