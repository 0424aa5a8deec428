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
struct SnapshotPlace
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
class SnapshotAssembly
{
public:
    /// Parts of one writer count in order; part 0 begins anew.
    base::Status apply(const SnapshotPart &record, const Process &writer, base::Offset offset);

    /// The newest whole snapshot.
    const SnapshotPlace &newest() const { return newest_; }

    void forget(const Process &process) { begun_.erase(process); }

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(newest_, begun_);
    }

private:
    struct Begun
    {
        SnapshotPlace place;
        std::uint32_t parts = 0;
        std::uint32_t nextPart = 0;

        template <typename Archive>
        void serialize(Archive &archive)
        {
            archive(place, parts, nextPart);
        }
    };

    SnapshotPlace newest_;
    std::map<Process, Begun> begun_;
};

} // namespace zinniadoor::control
