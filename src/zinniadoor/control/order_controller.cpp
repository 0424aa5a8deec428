#include "zinniadoor/control/order_controller.hpp"

namespace zinniadoor::control {

OrderController::OrderController(base::EndpointId endpoint, base::DataCentreId dataCentre,
                                 Process self, OrderTimeouts times)
    : endpoint_(std::move(endpoint))
    , dataCentre_(std::move(dataCentre))
    , self_(std::move(self))
    , times_(times)
{ }

OrderStep OrderController::next(const State &state, const LeaseController &lease,
                                const std::optional<DesiredOrder> &desired, absl::Time now)
{
    const EndpointSlots *slots = state.orders().find(endpoint_);
    const std::uint64_t lastSlot = slots == nullptr ? 0 : slots->lastSlot;
    if (slots != nullptr && slots->open) {
        if (slots->open->sender == self_)
            return advanceOwn(*slots->open, lastSlot, lease, now);
        return takeOver(state, *slots->open, lastSlot, lease, now);
    }
    if (desired && lease.mayAct(now))
        return openOrder(lease, *desired, lastSlot + 1);
    return {};
}

OrderStep OrderController::openOrder(const LeaseController &lease, const DesiredOrder &desired,
                                     std::uint64_t slot)
{
    const SlotInEpoch key { slot, lease.epoch() };
    if (opened_ == key)
        return {};
    opened_ = key;
    OrderOpened record;
    record.endpoint = endpoint_;
    record.slot = slot;
    record.dataCentre = dataCentre_;
    record.epoch = lease.epoch();
    record.kind = static_cast<std::uint8_t>(desired.kind);
    record.argument = desired.argument;
    return { record, std::nullopt };
}

OrderStep OrderController::advanceOwn(const OpenOrder &order, std::uint64_t slot,
                                      const LeaseController &lease, absl::Time now)
{
    if (slot > sentSlot_) {
        const bool sameEpoch = lease.epoch() == order.epoch;
        if (sameEpoch && lease.mayAct(now + times_.sendTimeout))
            return sendOrder(order, slot);
        if (sameEpoch)
            return {};
        // The lease was lost before the order was sent, so the order is abandoned.
        sentSlot_ = slot;
        abandoned_ = true;
    }
    if (abandoned_)
        return closeOrder(slot, OrderResult::NeverSent, order.epoch);
    if (outcome_ && outcome_->first == slot)
        return closeOrder(slot, outcome_->second, order.epoch);
    return {};
}

OrderStep OrderController::sendOrder(const OpenOrder &order, std::uint64_t slot)
{
    sentSlot_ = slot;
    abandoned_ = false;
    ports::EndpointOrder send;
    send.kind = static_cast<ports::EndpointOrderKind>(order.kind);
    send.dataCentre = dataCentre_;
    send.endpoint = endpoint_;
    send.address = order.address;
    send.argument = order.argument;
    send.fencing = order.epoch;
    send.slot = slot;
    return { std::nullopt, send };
}

void OrderController::onOutcome(std::uint64_t slot, OrderResult result)
{
    if (slot == sentSlot_ && !abandoned_)
        outcome_ = { slot, result };
}

OrderStep OrderController::closeOrder(std::uint64_t slot, OrderResult result, base::Offset epoch)
{
    const SlotInEpoch key { slot, epoch };
    if (closed_ == key)
        return {};
    closed_ = key;
    return { OrderClosed { endpoint_, slot, result }, std::nullopt };
}

OrderStep OrderController::takeOver(const State &state, const OpenOrder &order, std::uint64_t slot,
                                    const LeaseController &lease, absl::Time now)
{
    if (endedSlot_ != slot) {
        endedSlot_ = slot;
        endedSince_ = absl::InfiniteFuture();
    }
    const bool ended = state.instances().hasEnded(order.sender);
    if (ended && endedSince_ == absl::InfiniteFuture())
        endedSince_ = now;
    if (!lease.mayAct(now))
        return {};
    if (lease.epoch() > order.epoch && isFenced(endpoint_, order, state.configuration()))
        return closeOrder(slot, OrderResult::Fenced, lease.epoch());
    if (isReplaced(endpoint_, order, state.configuration()))
        return closeOrder(slot, OrderResult::EndpointReplaced, lease.epoch());
    // Data that the process had handed to its kernel may arrive after the process has ended.
    if (ended && now - endedSince_ >= times_.deliveryGracePeriod)
        return closeOrder(slot, OrderResult::SenderGone, lease.epoch());
    return {};
}

} // namespace zinniadoor::control
