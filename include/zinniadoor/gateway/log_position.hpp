#pragma once

#include <cstdint>
#include <tuple>

namespace zinniadoor::gateway {

/// Number of a record in a log; the first record has offset 0.
using LogOffset = std::uint64_t;

/// Counts the restorations of the store from an older copy. Each drops the newest records of all
/// logs, whose offsets are then assigned again.
using StoreEra = std::uint64_t;

/// Position in a log. Positions of a later era are larger, whatever their offsets.
struct LogPosition
{
    StoreEra era = 0;
    LogOffset offset = 0;

    LogPosition operator+(LogOffset records) const { return { era, offset + records }; }

    friend bool operator==(const LogPosition &a, const LogPosition &b)
    {
        return a.era == b.era && a.offset == b.offset;
    }
    friend bool operator!=(const LogPosition &a, const LogPosition &b) { return !(a == b); }
    friend bool operator<(const LogPosition &a, const LogPosition &b)
    {
        return std::tie(a.era, a.offset) < std::tie(b.era, b.offset);
    }
    friend bool operator>(const LogPosition &a, const LogPosition &b) { return b < a; }
    friend bool operator<=(const LogPosition &a, const LogPosition &b) { return !(b < a); }
    friend bool operator>=(const LogPosition &a, const LogPosition &b) { return !(a < b); }

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(era, offset);
    }
};

} // namespace zinniadoor::gateway
