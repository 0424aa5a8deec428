#pragma once

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>

#include "zinniadoor/base/clock.hpp"
#include "zinniadoor/base/outcome.hpp"
#include "zinniadoor/gateway/dialects.hpp"
#include "zinniadoor/gateway/gateway_settings.hpp"
#include "zinniadoor/gateway/platform_ports.hpp"
#include "zinniadoor/net/http_client.hpp"

namespace zinniadoor::gateway {

/// Adapters used by the gateway; all must outlive it.
struct GatewayPorts
{
    const base::Clock *clock = nullptr;
    net::HttpClient *client = nullptr;
    const CallerDialect *callerDialect = nullptr;
    const EndpointDialect *endpointDialect = nullptr;
    const RecordDecoder *decoder = nullptr;
    LogStore *store = nullptr;
    DutyClient *duties = nullptr;
};

/// One gateway instance between callers and endpoints. Runs on a single event thread.
class Gateway
{
public:
    virtual ~Gateway() = default;

    /// Applies changed settings that need no restart.
    virtual void reload(const GatewaySettings &settings) = 0;

    /// Drains and shuts down, then calls `stopped`.
    virtual void stop(std::function<void()> stopped) = 0;
};

/// Opens the listening sockets and starts following the platform's logs.
base::Outcome<std::unique_ptr<Gateway>> startGateway(boost::asio::io_context &context,
                                                     const GatewaySettings &settings,
                                                     const GatewayPorts &ports);

} // namespace zinniadoor::gateway
