#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include "absl/time/time.h"

#include "zinniadoor/base/ids.hpp"
#include "zinniadoor/control/lease_controller.hpp"
#include "zinniadoor/control/records.hpp"
#include "zinniadoor/control/state.hpp"
#include "zinniadoor/ports/platform.hpp"

namespace zinniadoor::control {

struct OrderTimes
{
    /// The longest that sending takes until its connection is reset; an order is sent only if the
    /// lease lasts that long.
    absl::Duration sending = absl::Milliseconds(500);
    /// How long bytes of an ended process may still be on their way.
    absl::Duration bytesOnTheirWay = absl::Seconds(1);
};

/// What an endpoint is to be told.
struct WantedOrder
{
    ports::EndpointOrderKind kind = ports::EndpointOrderKind::Role;
    std::string argument;
};

/// What to do next for an endpoint.
struct OrderStep
{
    std::optional<Record> record; ///< To append.
    std::optional<ports::EndpointOrder> send; ///< To send now, once.
};

/// Takes one endpoint's orders through their slots for one process.
class OrderKeeper
{
public:
    OrderKeeper(base::EndpointId endpoint, base::DataCentreId dataCentre, Process self,
                OrderTimes times);

    /// `lease` keeps the scope of the data centre's orders.
    OrderStep next(const State &state, const LeaseController &lease,
                   const std::optional<WantedOrder> &wanted, absl::Time now);

    /// The outcome of an order sent, Done or Refused. While the outcome is unknown, or the order
    /// might still arrive, do not call this: the slot has to stay open.
    void onOutcome(std::uint64_t slot, OrderResult result);

private:
    OrderStep openOrder(const LeaseController &lease, const WantedOrder &wanted, std::uint64_t slot);
    OrderStep sendOrder(const OpenOrder &order, std::uint64_t slot);
    OrderStep closeOrder(std::uint64_t slot, OrderResult result, base::Offset epoch);
    OrderStep nextOfOwn(const OpenOrder &order, std::uint64_t slot, const LeaseController &lease,
                        absl::Time now);
    OrderStep takeOver(const State &state, const OpenOrder &order, std::uint64_t slot,
                       const LeaseController &lease, absl::Time now);

    using SlotInEpoch = std::pair<std::uint64_t, base::Offset>;

    base::EndpointId endpoint_;
    base::DataCentreId dataCentre_;
    Process self_;
    OrderTimes times_;
    std::uint64_t sentSlot_ = 0; ///< The last one sent, or given up unsent.
    bool neverSent_ = false; ///< Whether `sentSlot_` was given up.
    std::optional<std::pair<std::uint64_t, OrderResult>> outcome_;
    SlotInEpoch opened_; ///< Records already given out.
    SlotInEpoch closed_;
    std::uint64_t goneSlot_ = 0;
    absl::Time goneSince_ = absl::InfiniteFuture();
};

} // namespace zinniadoor::control
