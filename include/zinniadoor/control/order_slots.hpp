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

/// An order that may be on its way to its endpoint.
struct OpenOrder
{
    Process sender;
    base::Offset epoch = 0;
    base::DataCentreId dataCentre;
    std::uint8_t kind = 0; ///< ports::EndpointOrderKind
    std::string argument;
    std::string address; ///< Of the endpoint when the order was opened; empty if unlisted.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(sender, epoch, dataCentre, kind, argument, address);
    }
};

/// The orders of one endpoint, numbered from 1; at most the last one is open.
struct EndpointSlots
{
    std::uint64_t lastSlot = 0;
    std::optional<OpenOrder> open;
    OrderResult lastResult = OrderResult::Done; ///< Of the last closed slot.
    std::uint8_t lastDoneKind = 0;
    std::string lastDoneArgument; ///< Of the last order known to be done; empty for none.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(lastSlot, open, lastResult, lastDoneKind, lastDoneArgument);
    }
};

/// What the rules of order slots look up in the rest of the state.
struct OrderRules
{
    const ConfigurationChain &configuration;
    const InstanceTable &instances;
    const LeaseTable &leases;
};

/// Whether the receiver of the order refuses old epochs: the platform's interface and engines
/// that check fencing numbers do.
bool isFenced(const base::EndpointId &endpoint, const OpenOrder &order,
              const ConfigurationChain &configuration);

/// Whether the endpoint stands at another address than when the order was opened.
bool isReplaced(const base::EndpointId &endpoint, const OpenOrder &order,
                const ConfigurationChain &configuration);

/// Which order of each endpoint is open, and whose it is.
class OrderSlots
{
public:
    base::Status apply(const OrderOpened &record, const Process &writer, const OrderRules &rules);
    base::Status apply(const OrderClosed &record, const Process &writer, const OrderRules &rules);

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
