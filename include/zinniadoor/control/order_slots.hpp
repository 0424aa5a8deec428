#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>

#include "zinniadoor/base/ids.hpp"
#include "zinniadoor/base/outcome.hpp"
#include "zinniadoor/control/configuration_chain.hpp"
#include "zinniadoor/control/instance_table.hpp"
#include "zinniadoor/control/lease_table.hpp"
#include "zinniadoor/control/records.hpp"

namespace zinniadoor::control {

/// An order that may be in flight to its endpoint.
struct OpenOrder
{
    Process sender;
    base::Offset epoch = 0;
    base::DataCentreId dataCentre;
    std::uint8_t kind = 0; ///< ports::EndpointOrderKind
    std::string argument;
    std::string address; ///< Endpoint address when the order was opened; empty if unlisted.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(sender, epoch, dataCentre, kind, argument, address);
    }
};

/// The orders of one endpoint, in slots numbered from 1. At most the last slot is open.
struct EndpointSlots
{
    std::uint64_t lastSlot = 0;
    std::optional<OpenOrder> open;
    OrderResult lastResult = OrderResult::Done; ///< Of the last closed slot.
    std::uint8_t lastDoneKind = 0;
    std::string lastDoneArgument; ///< Of the last order closed as Done; empty for none.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(lastSlot, open, lastResult, lastDoneKind, lastDoneArgument);
    }
};

/// The state against which order records are validated.
struct OrderContext
{
    const ConfigurationChain &configuration;
    const InstanceTable &instances;
    const LeaseTable &leases;
};

/// Whether the order's receiver rejects old epochs, as the platform API and engines that check
/// fencing numbers do.
bool isFenced(const base::EndpointId &endpoint, const OpenOrder &order,
              const ConfigurationChain &configuration);

/// Whether the endpoint is unlisted or has another address than when the order was opened.
bool isReplaced(const base::EndpointId &endpoint, const OpenOrder &order,
                const ConfigurationChain &configuration);

/// The open order of each endpoint and its sender.
class OrderSlots
{
public:
    base::Status apply(const OrderOpened &record, const Process &writer,
                       const OrderContext &context);
    base::Status apply(const OrderClosed &record, const Process &writer,
                       const OrderContext &context);

    /// Null for an endpoint that never had an order.
    const EndpointSlots *find(const base::EndpointId &endpoint) const;

    bool hasOpenOrderOf(const Process &process) const;
    const std::map<base::EndpointId, EndpointSlots> &endpoints() const { return endpoints_; }

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(endpoints_);
    }

private:
    std::map<base::EndpointId, EndpointSlots> endpoints_;
};

} // namespace zinniadoor::control
