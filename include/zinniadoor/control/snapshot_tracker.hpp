#pragma once

#include <cstdint>
#include <map>

#include <cereal/types/map.hpp>

#include "zinniadoor/base/ids.hpp"
#include "zinniadoor/base/outcome.hpp"
#include "zinniadoor/control/instance_table.hpp"
#include "zinniadoor/control/records.hpp"

namespace zinniadoor::control {

/// Where a whole snapshot stands in the log.
struct SnapshotLocation
{
    base::Offset firstPart = 0; ///< 0 for no snapshot.
    base::Offset through = 0; ///< The snapshot is the state after this offset.

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(firstPart, through);
    }
};

/// Tells when all parts of a snapshot are in the log; does not keep their bytes.
class SnapshotTracker
{
public:
    /// Parts of one writer count in order; part 0 begins anew.
    base::Status apply(const SnapshotPart &record, const Process &writer, base::Offset offset);

    /// The newest whole snapshot.
    const SnapshotLocation &newest() const { return newest_; }

    void forget(const Process &process) { begun_.erase(process); }

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(newest_, begun_);
    }

private:
    struct Begun
    {
        SnapshotLocation place;
        std::uint32_t parts = 0;
        std::uint32_t nextPart = 0;

        template <typename Archive>
        void serialize(Archive &archive)
        {
            archive(place, parts, nextPart);
        }
    };

    SnapshotLocation newest_;
    std::map<Process, Begun> begun_;
};

} // namespace zinniadoor::control
