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

struct OrderTimeouts
{
    /// Maximum duration of a send until its connection is reset. An order is sent only if the lease
    /// remains valid for that long.
    absl::Duration sendTimeout = absl::Milliseconds(500);
    /// How long data sent by a process may still arrive after the process has ended.
    absl::Duration deliveryGracePeriod = absl::Seconds(1);
};

/// The order that an endpoint should receive.
struct DesiredOrder
{
    ports::EndpointOrderKind kind = ports::EndpointOrderKind::Role;
    std::string argument;
};

/// The next action for an endpoint.
struct OrderStep
{
    std::optional<Record> record; ///< To append.
    std::optional<ports::EndpointOrder> send; ///< To send now, exactly once.
};

/// Opens, sends and closes the orders of one endpoint for one process. Performs no I/O.
class OrderController
{
public:
    OrderController(base::EndpointId endpoint, base::DataCentreId dataCentre, Process self,
                    OrderTimeouts times);

    /// `lease`: the lease of the data centre's orders.
    OrderStep next(const State &state, const LeaseController &lease,
                   const std::optional<DesiredOrder> &desired, absl::Time now);

    /// Reports the outcome of a sent order, Done or Refused. Must not be called while the outcome
    /// is unknown or the order may still arrive: the slot has to stay open until then.
    void onOutcome(std::uint64_t slot, OrderResult result);

private:
    OrderStep openOrder(const LeaseController &lease, const DesiredOrder &desired,
                        std::uint64_t slot);
    OrderStep sendOrder(const OpenOrder &order, std::uint64_t slot);
    OrderStep closeOrder(std::uint64_t slot, OrderResult result, base::Offset epoch);
    OrderStep advanceOwn(const OpenOrder &order, std::uint64_t slot, const LeaseController &lease,
                         absl::Time now);
    OrderStep takeOver(const State &state, const OpenOrder &order, std::uint64_t slot,
                       const LeaseController &lease, absl::Time now);

    using SlotInEpoch = std::pair<std::uint64_t, base::Offset>;

    base::EndpointId endpoint_;
    base::DataCentreId dataCentre_;
    Process self_;
    OrderTimeouts times_;
    std::uint64_t sentSlot_ = 0; ///< The last slot sent, or abandoned before sending.
    bool abandoned_ = false; ///< Whether `sentSlot_` was abandoned before sending.
    std::optional<std::pair<std::uint64_t, OrderResult>> outcome_;
    SlotInEpoch opened_; ///< OrderOpened already returned for this slot.
    SlotInEpoch closed_; ///< OrderClosed already returned for this slot.
    std::uint64_t endedSlot_ = 0;
    absl::Time endedSince_ = absl::InfiniteFuture();
};

} // namespace zinniadoor::control
