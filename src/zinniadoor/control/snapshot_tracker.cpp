#include "zinniadoor/control/snapshot_tracker.hpp"

namespace zinniadoor::control {

base::Status SnapshotTracker::apply(const SnapshotPart &record, const Process &writer,
                                    base::Offset offset)
{
    const base::Reason unexpected { base::ReasonCode::Conflict, "unexpected snapshot part" };
    if (record.through >= offset || record.part >= record.parts)
        return unexpected;
    if (record.part == 0)
        partials_[writer] = { { offset, record.through }, record.parts, 0 };
    const auto found = partials_.find(writer);
    if (found == partials_.end())
        return unexpected;
    PartialSnapshot &partial = found->second;
    if (record.part != partial.nextPart || record.parts != partial.parts
        || record.through != partial.location.through)
        return unexpected;
    ++partial.nextPart;
    if (partial.nextPart < partial.parts)
        return base::Done {};
    if (partial.location.through > newest_.through || newest_.firstPart == 0)
        newest_ = partial.location;
    partials_.erase(found);
    return base::Done {};
}

} // namespace zinniadoor::control
