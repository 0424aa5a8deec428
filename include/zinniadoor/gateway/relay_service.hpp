#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>

#include "absl/time/time.h"

#include "zinniadoor/net/head_server.hpp"

namespace zinniadoor::gateway {

struct RelayOptions
{
    std::size_t maxConnections = 128; ///< At the same time; each has two buffers of 16 KB.
    absl::Duration connectTimeout = absl::Milliseconds(300);
};

/// Connects other instances, which cannot reach an endpoint themselves, with it, and passes bytes
/// on. The destination is the id of an endpoint that this instance knows, and it is reached
/// directly: the service leads nowhere else, and never through a second relay. Responds with 200
/// once connected, 404 for an unknown endpoint, 502 if it cannot be reached from here, 503 beyond
/// the limit. For the event thread only.
class RelayService
{
public:
    /// `addressOf` returns the address of the endpoint with this id; nothing if none is known.
    RelayService(boost::asio::io_context &context,
                 std::function<std::optional<std::string>(const std::string &)> addressOf,
                 const RelayOptions &options = {});
    ~RelayService();
    RelayService(const RelayService &) = delete;
    RelayService &operator=(const RelayService &) = delete;

    /// Sets what finds out whose fault it is that an endpoint could not be connected to, and calls
    /// one of both; without it, it is the endpoint's.
    using FaultFinder
        = std::function<void(const std::string &endpoint, const std::function<void()> &onFault,
                             const std::function<void()> &onCutOff)>;
    void setFaultFinder(FaultFinder finder);

    /// A request with the method CONNECT.
    void serve(const std::shared_ptr<net::HeadConnection> &connection);

    /// Accepts no further connections, since this instance stops or reaches no endpoint itself.
    void setAccepting(bool accepting);

    std::size_t connections() const;

    /// Connections on which an answer is awaited or arriving.
    std::size_t busyConnections() const;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace zinniadoor::gateway
