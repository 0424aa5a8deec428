#include "zinniadoor/control/order_slots.hpp"

#include <algorithm>

#include "zinniadoor/ports/platform.hpp"

namespace zinniadoor::control {

namespace {

base::Reason conflict(const char *text)
{
    return { base::ReasonCode::Conflict, text };
}

bool goesToPlatform(std::uint8_t kind)
{
    return kind == static_cast<std::uint8_t>(ports::EndpointOrderKind::Start)
        || kind == static_cast<std::uint8_t>(ports::EndpointOrderKind::Stop);
}

bool isCurrentHolder(const OpenOrder &order, const Process &writer, const LeaseTable &leases)
{
    const Lease *lease = leases.find(ordersScope(order.dataCentre));
    return lease != nullptr && lease->isHeld() && lease->holder == writer;
}

base::Status checkTakeover(const OrderClosed &record, const OpenOrder &order, const Process &writer,
                           const OrderContext &context)
{
    if (!isCurrentHolder(order, writer, context.leases))
        return conflict("the writer has no authority over the order");
    const bool newerEpoch = context.leases.find(ordersScope(order.dataCentre))->epoch > order.epoch;
    switch (record.result) {
    case OrderResult::Fenced:
        if (!newerEpoch || !isFenced(record.endpoint, order, context.configuration))
            return conflict("the receiver would still accept the order");
        return base::Done {};
    case OrderResult::SenderGone:
        if (!context.instances.hasEnded(order.sender))
            return conflict("the sender is not recorded as ended");
        return base::Done {};
    case OrderResult::EndpointReplaced:
        if (!isReplaced(record.endpoint, order, context.configuration))
            return conflict("the endpoint was not replaced");
        return base::Done {};
    case OrderResult::Done:
    case OrderResult::Refused:
    case OrderResult::NeverSent:
        break;
    }
    return conflict("only the sender may record this outcome");
}

bool isOutcomeOfSender(OrderResult result)
{
    return result == OrderResult::Done || result == OrderResult::Refused
        || result == OrderResult::NeverSent;
}

} // namespace

bool isFenced(const base::EndpointId &endpoint, const OpenOrder &order,
              const ConfigurationChain &configuration)
{
    if (goesToPlatform(order.kind))
        return true;
    const Endpoint *listed = configuration.findEndpoint(endpoint);
    return listed != nullptr && listed->checksFencing && listed->address == order.address;
}

bool isReplaced(const base::EndpointId &endpoint, const OpenOrder &order,
                const ConfigurationChain &configuration)
{
    if (order.address.empty())
        return false;
    const Endpoint *listed = configuration.findEndpoint(endpoint);
    return listed == nullptr || listed->address != order.address;
}

base::Status OrderSlots::apply(const OrderOpened &record, const Process &writer,
                               const OrderContext &context)
{
    if (!context.leases.isHolder(ordersScope(record.dataCentre), writer, record.epoch))
        return conflict(
            "the writer does not hold the lease of the data centre's orders in this epoch");
    EndpointSlots slots;
    if (const EndpointSlots *existing = find(record.endpoint))
        slots = *existing;
    if (slots.open)
        return conflict("the previous order is still open");
    if (record.slot != slots.lastSlot + 1)
        return conflict("the slot is not the next one");
    const Endpoint *listed = context.configuration.findEndpoint(record.endpoint);
    slots.lastSlot = record.slot;
    slots.open = OpenOrder { writer,      record.epoch,    record.dataCentre,
                             record.kind, record.argument, listed ? listed->address : "" };
    endpoints_[record.endpoint] = std::move(slots);
    return base::Done {};
}

base::Status OrderSlots::apply(const OrderClosed &record, const Process &writer,
                               const OrderContext &context)
{
    const auto found = endpoints_.find(record.endpoint);
    if (found == endpoints_.end() || !found->second.open || found->second.lastSlot != record.slot)
        return conflict("the slot is not open");
    EndpointSlots &slots = found->second;
    const bool bySender = slots.open->sender == writer && isOutcomeOfSender(record.result);
    if (!bySender) {
        base::Status takeover = checkTakeover(record, *slots.open, writer, context);
        if (!takeover)
            return takeover;
    }
    if (record.result == OrderResult::Done) {
        slots.lastDoneKind = slots.open->kind;
        slots.lastDoneArgument = slots.open->argument;
    }
    slots.lastResult = record.result;
    slots.open.reset();
    return base::Done {};
}

const EndpointSlots *OrderSlots::find(const base::EndpointId &endpoint) const
{
    const auto found = endpoints_.find(endpoint);
    return found == endpoints_.end() ? nullptr : &found->second;
}

bool OrderSlots::hasOpenOrderOf(const Process &process) const
{
    return std::any_of(endpoints_.begin(), endpoints_.end(), [&process](const auto &row) {
        return row.second.open && row.second.open->sender == process;
    });
}

} // namespace zinniadoor::control
