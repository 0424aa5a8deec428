// Child process of lease_guard_test: sends under a lease that expires while the process is
// suspended. It raises SIGSTOP between its lease check and the send; in `flood` mode the test
// suspends it.
//
// Usage: lease_guard_sender socket|flood|order guarded|unguarded <port>

#include <csignal>
#include <cstdio>
#include <cstring>
#include <memory>
#include <optional>
#include <string>

#include <sys/socket.h>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

#include "zinniadoor/adapters/lease_guard.hpp"
#include "zinniadoor/adapters/platform_http.hpp"
#include "zinniadoor/adapters/sizes.hpp"
#include "zinniadoor/base/clock.hpp"

#include "socket_address.hpp"

namespace {

using namespace zinniadoor;

constexpr absl::Duration UnacknowledgedTimeout = absl::Milliseconds(300);
constexpr absl::Duration Lease = absl::Milliseconds(360); // leaves 60 ms for sending
constexpr std::size_t FloodBytes = 16 * adapters::MebiByte;

void printLeaseEnd(absl::Time end)
{
    std::printf("%lld\n", static_cast<long long>(absl::ToUnixNanos(end)));
    std::fflush(stdout);
}

/// Sends more than the kernel buffers; the test suspends the process while the call blocks.
bool sendFlood(int socket, const std::string &flood)
{
    return send(socket, flood.data(), flood.size(), MSG_NOSIGNAL) > 0;
}

void suspend()
{
    raise(SIGSTOP);
}

bool sendAfterSuspend(int socket)
{
    suspend();
    return send(socket, "order", std::strlen("order"), MSG_NOSIGNAL) > 0;
}

/// Checks the lease, is suspended, then sends.
int sendOnSocket(const base::Clock &clock, adapters::LeaseGuard *guard, absl::Time leaseEnd,
                 int port, const std::string &flood)
{
    const auto address = adapters::detail::parseAddress("127.0.0.1", port);
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (guard != nullptr && !guard->protect(socket))
        return 1;
    if (connect(socket, address->data(), address->length) != 0)
        return 1;
    const bool leaseValid
        = guard != nullptr ? !guard->expired() : clock.now() < leaseEnd - UnacknowledgedTimeout;
    if (!leaseValid)
        return 1;
    printLeaseEnd(leaseEnd);
    return (flood.empty() ? sendAfterSuspend(socket) : sendFlood(socket, flood)) ? 0 : 1;
}

int sendOrder(adapters::LeaseGuard *guard, absl::Time leaseEnd, int port)
{
    adapters::PlatformOptions options;
    options.baseUrl = "http://127.0.0.1:1";
    options.onConnected = &suspend;
    const auto orders = adapters::httpEndpointOrders(options, guard);
    ports::EndpointOrder order;
    order.address = absl::StrCat("127.0.0.1:", port);
    printLeaseEnd(leaseEnd);
    return orders->send(order).hasValue() ? 0 : 1;
}

} // namespace

int main(int argumentCount, char **arguments)
{
    int port = 0;
    if (argumentCount != 4 || !absl::SimpleAtoi(arguments[3], &port))
        return 2;
    const auto clock = base::systemClock();
    const bool floods = std::string(arguments[1]) == "flood";
    const std::string flood(floods ? FloodBytes : 0, 'x'); // allocated before the lease starts
    std::unique_ptr<adapters::LeaseGuard> guard;
    if (std::string(arguments[2]) == "guarded")
        guard = std::make_unique<adapters::LeaseGuard>(
            adapters::LeaseGuardOptions { UnacknowledgedTimeout });
    const absl::Time leaseEnd = clock->now() + Lease;
    if (guard != nullptr)
        guard->arm(leaseEnd);
    if (std::string(arguments[1]) == "order")
        return sendOrder(guard.get(), leaseEnd, port);
    return sendOnSocket(*clock, guard.get(), leaseEnd, port, flood);
}
