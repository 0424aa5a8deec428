#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "zinniadoor/base/ids.hpp"
#include "zinniadoor/base/outcome.hpp"

namespace zinniadoor::ports {

enum class InstanceState { Live, Leaving };

/// One row of the platform's instance list, which is eventually consistent.
struct ListedInstance
{
    std::string id; ///< Id of an entry instance or of an endpoint.
    base::DataCentreId dataCentre;
    InstanceState state = InstanceState::Live;
};

class InstanceList
{
public:
    virtual ~InstanceList() = default;
    virtual base::Outcome<std::vector<ListedInstance>> list() = 0;
};

enum class EndpointOrderKind { Start, Stop, Role, LoadModel };

const char *nameOf(EndpointOrderKind kind);

/// An order for the platform's endpoint interface (Start, Stop) or for an engine (Role, LoadModel).
struct EndpointOrder
{
    EndpointOrderKind kind = EndpointOrderKind::Role;
    base::DataCentreId dataCentre;
    base::EndpointId endpoint;
    std::string address; ///< IP:port of the engine; empty for the platform's interface.
    std::string argument; ///< Role name, or model and version.
    std::uint64_t fencing = 0; ///< Fencing number: the epoch of the sender's lease.
    std::uint64_t slot = 0; ///< Sequence number among the endpoint's orders.
};

class EndpointOrders
{
public:
    virtual ~EndpointOrders() = default;

    /// Fails with OutcomeUnknown if the order may have taken effect.
    virtual base::Status send(const EndpointOrder &order) = 0;
};

struct UsageReport
{
    base::OrganisationId organisation;
    std::int64_t window = 0; ///< Start of the window, in seconds since the Unix epoch.
    std::uint64_t requests = 0;
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0;
    std::uint64_t fencing = 0;
};

class Billing
{
public:
    virtual ~Billing() = default;

    /// Fails with OutcomeUnknown if the report may have been accepted. Reports are idempotent: the
    /// same figures may be sent again.
    virtual base::Status report(const UsageReport &report) = 0;
};

} // namespace zinniadoor::ports
