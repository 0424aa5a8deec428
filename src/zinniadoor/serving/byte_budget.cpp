#include "zinniadoor/serving/byte_budget.hpp"

namespace zinniadoor::serving {

ByteBudget::ByteBudget(const ByteBudgetOptions &options)
    : options_(options)
{ }

ByteBudget::Id ByteBudget::add(absl::Time now)
{
    bodies_[++lastId_].markedAt = now;
    return lastId_;
}

// Large bodies are bounded by their part of the total, whatever small ones have left of theirs.
bool ByteBudget::fits(const Body &body, std::size_t room) const
{
    const std::size_t others = bytes_ - body.room;
    if (!isLarge(room))
        return others + room <= options_.total;
    const std::size_t otherLarge = largeBytes_ - (isLarge(body.room) ? body.room : 0);
    const auto largeTotal = static_cast<std::size_t>((1 - options_.smallReserve)
                                                     * static_cast<double>(options_.total));
    return otherLarge == 0 || (otherLarge + room <= largeTotal && others + room <= options_.total);
}

void ByteBudget::setRoom(Body &body, std::size_t room)
{
    if (isLarge(body.room))
        largeBytes_ -= body.room;
    bytes_ += room - body.room;
    body.room = room;
    if (isLarge(room))
        largeBytes_ += room;
}

void ByteBudget::grant(Body &body, std::size_t room, absl::Time now)
{
    setRoom(body, room);
    body.receivedAtMark = body.received;
    body.markedAt = now;
    if (body.wanted > 0)
        --waiting_;
    body.wanted = 0;
}

bool ByteBudget::reserve(Id id, std::size_t bytes, absl::Time now)
{
    const auto found = bodies_.find(id);
    if (found == bodies_.end())
        return false;
    Body &body = found->second;
    const std::size_t room = options_.copies * bytes;
    if (room <= body.room)
        return true;
    // Those that wait go first, or a sequence of new bodies would keep them waiting.
    if (fits(body, room) && (waiting_ == 0 || !isLarge(room))) {
        grant(body, room, now);
        return true;
    }
    if (body.wanted == 0)
        ++waiting_;
    body.wanted = room;
    return false;
}

void ByteBudget::noteReceived(Id id, std::size_t bytes, absl::Time now)
{
    const auto found = bodies_.find(id);
    if (found == bodies_.end())
        return;
    Body &body = found->second;
    body.received = bytes;
    if (bytes >= body.receivedAtMark + options_.minProgress) {
        body.receivedAtMark = bytes;
        body.markedAt = now;
    }
}

void ByteBudget::noteComplete(Id id)
{
    const auto found = bodies_.find(id);
    if (found != bodies_.end())
        found->second.isComplete = true;
}

void ByteBudget::remove(Id id)
{
    const auto found = bodies_.find(id);
    if (found == bodies_.end())
        return;
    setRoom(found->second, 0);
    if (found->second.wanted > 0)
        --waiting_;
    bodies_.erase(found);
}

std::optional<ByteBudget::Id> ByteBudget::nextGranted(absl::Time now)
{
    if (waiting_ == 0)
        return std::nullopt;
    for (const bool large : { false, true }) {
        for (auto &[id, body] : bodies_) {
            if (body.wanted == 0 || isLarge(body.wanted) != large)
                continue;
            if (fits(body, body.wanted)) {
                grant(body, body.wanted, now);
                return id;
            }
            break; // Smaller ones behind it would keep it waiting.
        }
    }
    return std::nullopt;
}

// A body that waits holds only what it had before, and is chosen where that keeps a small one
// from its room.
std::optional<ByteBudget::Id> ByteBudget::victim(absl::Time now) const
{
    if (waiting_ == 0)
        return std::nullopt;
    bool smallWaits = false;
    for (const auto &[id, body] : bodies_)
        smallWaits |= body.wanted > 0 && !isLarge(body.wanted);
    std::optional<Id> chosen;
    std::size_t most = 0;
    for (const auto &[id, body] : bodies_) {
        if (body.isComplete || body.room == 0 || (!smallWaits && !isLarge(body.room)))
            continue;
        const bool isProgressing = now - body.markedAt < options_.stallTime;
        if (body.wanted > 0 ? !smallWaits || !isLarge(body.wanted) : isProgressing)
            continue;
        if (!chosen || body.room > most) {
            chosen = id;
            most = body.room;
        }
    }
    return chosen;
}

} // namespace zinniadoor::serving
