#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "zinniadoor/base/ids.hpp"
#include "zinniadoor/base/outcome.hpp"

namespace zinniadoor::ports {

enum class InstanceState { Live, Leaving };

/// One row of the platform's lagging list.
struct ListedInstance
{
    std::string id; ///< Of an entry instance or of an endpoint.
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

/// An order to the platform's endpoint interface (Start, Stop) or to an engine (Role, LoadModel).
struct EndpointOrder
{
    EndpointOrderKind kind = EndpointOrderKind::Role;
    base::DataCentreId dataCentre;
    base::EndpointId endpoint;
    std::string address; ///< IP:port of the engine; empty for the platform's interface.
    std::string argument; ///< Role name, or model and version.
    std::uint64_t fencing = 0; ///< Epoch of the sender's lease.
    std::uint64_t slot = 0; ///< Number of the order among the endpoint's orders.
};

class EndpointOrders
{
public:
    virtual ~EndpointOrders() = default;

    /// OutcomeUnknown when the order may have taken effect without an answer.
    virtual base::Status send(const EndpointOrder &order) = 0;
};

struct UsageReport
{
    base::OrganisationId organisation;
    std::int64_t window = 0; ///< Seconds since 1970 at the window's start.
    std::uint64_t requests = 0;
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0;
    std::uint64_t fencing = 0;
};

class Billing
{
public:
    virtual ~Billing() = default;

    /// OutcomeUnknown when the report may have been taken; the same figures may be sent again.
    virtual base::Status report(const UsageReport &report) = 0;
};

} // namespace zinniadoor::ports
