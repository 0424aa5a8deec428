#pragma once

#include <cstdint>
#include <map>

#include <cereal/types/map.hpp>

#include "zinniadoor/base/ids.hpp"
#include "zinniadoor/base/outcome.hpp"
#include "zinniadoor/control/instance_table.hpp"
#include "zinniadoor/control/records.hpp"

namespace zinniadoor::control {

/// Location of a complete snapshot in the log.
struct SnapshotLocation
{
    base::Offset firstPart = 0; ///< Offset; 0 if there is no snapshot.
    base::Offset through = 0; ///< The snapshot is the state after this offset.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(firstPart, through);
    }
};

/// Tracks which snapshots are complete in the log, without keeping their bytes.
class SnapshotTracker
{
public:
    /// Accepts the parts of each writer in order; part 0 starts a new snapshot.
    base::Status apply(const SnapshotPart &record, const Process &writer, base::Offset offset);

    /// The newest complete snapshot.
    const SnapshotLocation &newest() const { return newest_; }

    /// Drops the incomplete snapshot of a process.
    void evict(const Process &process) { partials_.erase(process); }

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(newest_, partials_);
    }

private:
    struct PartialSnapshot
    {
        SnapshotLocation location;
        std::uint32_t parts = 0;
        std::uint32_t nextPart = 0;

        template <typename Archive>
        void serialize(Archive &archive)
        {
            archive(location, parts, nextPart);
        }
    };

    SnapshotLocation newest_;
    std::map<Process, PartialSnapshot> partials_;
};

} // namespace zinniadoor::control
