#include "zinniadoor/control/order_keeper.hpp"

namespace zinniadoor::control {

OrderKeeper::OrderKeeper(base::EndpointId endpoint, base::DataCentreId dataCentre, Process self,
                         OrderTimes times)
    : endpoint_(std::move(endpoint))
    , dataCentre_(std::move(dataCentre))
    , self_(std::move(self))
    , times_(times)
{ }

OrderStep OrderKeeper::next(const State &state, const LeaseController &lease,
                            const std::optional<WantedOrder> &wanted, absl::Time now)
{
    const EndpointSlots *slots = state.orders().find(endpoint_);
    const std::uint64_t lastSlot = slots == nullptr ? 0 : slots->lastSlot;
    if (slots != nullptr && slots->open) {
        if (slots->open->sender == self_)
            return nextOfOwn(*slots->open, lastSlot, lease, now);
        return takeOver(state, *slots->open, lastSlot, lease, now);
    }
    if (wanted && lease.mayAct(now))
        return openOrder(lease, *wanted, lastSlot + 1);
    return {};
}

OrderStep OrderKeeper::openOrder(const LeaseController &lease, const WantedOrder &wanted,
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
    record.kind = static_cast<std::uint8_t>(wanted.kind);
    record.argument = wanted.argument;
    return { record, std::nullopt };
}

OrderStep OrderKeeper::nextOfOwn(const OpenOrder &order, std::uint64_t slot,
                                 const LeaseController &lease, absl::Time now)
{
    if (slot > sentSlot_) {
        const bool sameEpoch = lease.epoch() == order.epoch;
        if (sameEpoch && lease.mayAct(now + times_.sending))
            return sendOrder(order, slot);
        if (sameEpoch)
            return {};
        // The lease was lost before the order went out, so it never will.
        sentSlot_ = slot;
        neverSent_ = true;
    }
    if (neverSent_)
        return closeOrder(slot, OrderResult::NeverSent, order.epoch);
    if (outcome_ && outcome_->first == slot)
        return closeOrder(slot, outcome_->second, order.epoch);
    return {};
}

OrderStep OrderKeeper::sendOrder(const OpenOrder &order, std::uint64_t slot)
{
    sentSlot_ = slot;
    neverSent_ = false;
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

void OrderKeeper::onOutcome(std::uint64_t slot, OrderResult result)
{
    if (slot == sentSlot_ && !neverSent_)
        outcome_ = { slot, result };
}

OrderStep OrderKeeper::closeOrder(std::uint64_t slot, OrderResult result, base::Offset epoch)
{
    const SlotInEpoch key { slot, epoch };
    if (closed_ == key)
        return {};
    closed_ = key;
    return { OrderClosed { endpoint_, slot, result }, std::nullopt };
}

OrderStep OrderKeeper::takeOver(const State &state, const OpenOrder &order, std::uint64_t slot,
                                const LeaseController &lease, absl::Time now)
{
    if (goneSlot_ != slot) {
        goneSlot_ = slot;
        goneSince_ = absl::InfiniteFuture();
    }
    const bool gone = state.instances().hasEnded(order.sender);
    if (gone && goneSince_ == absl::InfiniteFuture())
        goneSince_ = now;
    if (!lease.mayAct(now))
        return {};
    if (lease.epoch() > order.epoch && isFenced(endpoint_, order, state.configuration()))
        return closeOrder(slot, OrderResult::Fenced, lease.epoch());
    if (isReplaced(endpoint_, order, state.configuration()))
        return closeOrder(slot, OrderResult::EndpointReplaced, lease.epoch());
    // What the ended process had handed to its machine may arrive a little after its end.
    if (gone && now - goneSince_ >= times_.bytesOnTheirWay)
        return closeOrder(slot, OrderResult::SenderGone, lease.epoch());
    return {};
}

} // namespace zinniadoor::control
