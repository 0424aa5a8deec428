#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "absl/container/btree_map.h"
#include "absl/time/time.h"

namespace zinniadoor::serving {

struct ByteBudgetOptions
{
    /// Bytes of all bodies of callers together, read or being read.
    std::size_t total = std::size_t { 64 } * 1024 * 1024;

    /// Bodies up to this size may use the reserve. Ordinary ones are up to 100 KB.
    std::size_t smallBody = std::size_t { 128 } * 1024;

    /// Share of the total that only small bodies may use.
    double smallReserve = 0.25;

    /// Copies of a body at the same time: the one that is kept for retries and that of an attempt.
    std::size_t copies = 2;

    /// While others wait, a body has to grow by `minProgress` bytes in each `stallTime`.
    absl::Duration stallTime = absl::Seconds(1);
    std::size_t minProgress = std::size_t { 64 } * 1024;
};

/// Bounds the memory of the bodies that callers send, over all connections of this instance.
/// Room for a body is reserved before its bytes are read. A body without room waits; while any
/// does, the body with the most bytes among those that have stopped growing is to be refused.
/// Addresses crowds of callers whose bodies are each within the limit of one. Not thread-safe.
class ByteBudget
{
public:
    using Id = std::uint64_t;

    explicit ByteBudget(const ByteBudgetOptions &options);

    const ByteBudgetOptions &options() const { return options_; }

    Id add(absl::Time now);

    /// Asks for room for a body of `bytes` bytes in all. False: it waits for `nextGranted`. A body
    /// gets room whatever its size if it is the only large one, so that each can be served.
    bool reserve(Id id, std::size_t bytes, absl::Time now);

    /// Bytes of the body that have been received.
    void noteReceived(Id id, std::size_t bytes, absl::Time now);

    /// The body is whole. It keeps its room until `remove`, and is not refused any more.
    void noteComplete(Id id);
    void remove(Id id);

    /// Grants room to a waiting body, the oldest small one first. Nothing if there is no room.
    std::optional<Id> nextGranted(absl::Time now);

    /// The body to refuse so that others get room; nothing if none waits or all of them grow.
    std::optional<Id> victim(absl::Time now) const;

    std::size_t bytes() const { return bytes_; }
    std::size_t waiting() const { return waiting_; }

private:
    struct Body
    {
        std::size_t room = 0; ///< Bytes reserved, all copies included.
        std::size_t wanted = 0; ///< Bytes asked for while it waits, else 0.
        std::size_t received = 0;
        std::size_t receivedAtMark = 0; ///< At the start of the current stall time.
        absl::Time markedAt;
        bool isComplete = false;
    };
    bool isLarge(std::size_t room) const { return room > options_.copies * options_.smallBody; }
    bool fits(const Body &body, std::size_t room) const;
    void grant(Body &body, std::size_t room, absl::Time now);
    void setRoom(Body &body, std::size_t room);

    ByteBudgetOptions options_;
    std::size_t bytes_ = 0;
    std::size_t largeBytes_ = 0;
    std::size_t waiting_ = 0;
    Id lastId_ = 0;
    absl::btree_map<Id, Body> bodies_;
};

} // namespace zinniadoor::serving
