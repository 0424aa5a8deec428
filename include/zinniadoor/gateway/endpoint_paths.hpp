#pragma once

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>

#include "zinniadoor/base/clock.hpp"
#include "zinniadoor/gateway/endpoint_directory.hpp"
#include "zinniadoor/gateway/peer_table.hpp"
#include "zinniadoor/net/http_client.hpp"

namespace zinniadoor::gateway {

/// How calls reach endpoints: over connections of this instance's own, or through another instance
/// that passes bytes on (a relay).
class EndpointPaths
{
public:
    virtual ~EndpointPaths() = default;

    /// Whether anything may reach an endpoint now.
    virtual bool hasWay() { return true; }

    /// Whether this instance has lost its own links to the endpoints.
    virtual bool isCutOff() const { return false; }

    /// `preferRelay`: direct connections have failed for the same request.
    virtual net::CallTarget targetOf(const EndpointRecord &endpoint, bool preferRelay)
    {
        (void)preferRelay;
        return { endpoint.address, endpoint.id.str() };
    }

    /// A relay gave no connection, for reasons of its own.
    virtual void noteRelayFailed(const std::string &relay) { (void)relay; }

    /// A direct connection could not be made. Now or later, `onFault` runs if this is the
    /// endpoint's fault, or else `onCutOff`.
    virtual void noteConnectFailed(const base::EndpointId &endpoint,
                                   const std::function<void()> &onFault,
                                   const std::function<void()> &onCutOff)
    {
        (void)endpoint;
        (void)onCutOff;
        onFault();
    }
};

/// Uses the other instances as relays while this instance is cut off. `directory` and `peers` are
/// those of this instance, which is in `dataCentre`; `onCutOff` tells of changes.
std::shared_ptr<EndpointPaths>
makeRelayedPaths(boost::asio::io_context &io, const base::Clock &clock,
                 const EndpointDirectory &directory, const PeerTable &peers,
                 const base::DataCentreId &dataCentre, std::function<void(bool)> onCutOff);

} // namespace zinniadoor::gateway
