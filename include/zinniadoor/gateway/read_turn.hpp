#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "absl/time/time.h"

namespace zinniadoor::gateway {

struct ReadTurnOptions
{
    std::uint64_t ownRank = 0; ///< Compared with those of the neighbours.
    absl::Duration notice; ///< Within which the records must be in force.
};

/// Decides when an instance that lacks long records reads them from the store, rather than from an
/// instance that has them. Addresses the load of many instances that start at the same moment, or
/// learn of the same version: what they all read from the store grows with their number. The
/// neighbours, which are the other instances of the data centre, take turns in the order of their
/// ranks, so that few have read when the first of them can hand the records on. There is no
/// agreement: an instance whose turn has come reads, whatever the others do.
class ReadTurn
{
public:
    explicit ReadTurn(const ReadTurnOptions &options);

    /// Records are missing from now on.
    void begin(absl::Time now);

    /// Ranks of all neighbours. Until then, turns are spread by this instance's rank alone; the
    /// wait begins again when they become known.
    void setNeighbours(const std::vector<std::uint64_t> &ranks, absl::Time now);

    /// Another instance is reading the records from the store.
    void noteReading(absl::Time now);

    /// This instance's read of the store failed.
    void noteFailure(absl::Time now);

    /// The records have been received.
    void noteSuccess() { failures_ = 0; }

    /// When this instance reads the store unless it is handed the records.
    absl::Time due() const;

    /// Number of neighbours whose turn comes before; nothing while they are not known.
    std::optional<std::size_t> position() const { return position_; }

private:
    absl::Duration step() const;

    ReadTurnOptions options_;
    absl::Time begunAt_ = absl::InfinitePast();
    absl::Time trustUntil_ = absl::InfinitePast(); ///< Another instance's read may take as long.
    absl::Time retryAt_ = absl::InfinitePast(); ///< After a failed read.
    std::optional<std::size_t> position_;
    std::size_t neighbours_ = 0;
    int failures_ = 0; ///< Consecutive failed reads, up to a limit.
};

} // namespace zinniadoor::gateway
