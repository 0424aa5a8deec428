#include "zinniadoor/control/snapshot_tracker.hpp"

namespace zinniadoor::control {

base::Status SnapshotTracker::apply(const SnapshotPart &record, const Process &writer,
                                    base::Offset offset)
{
    const base::Reason misplaced { base::ReasonCode::Conflict, "the part does not follow" };
    if (record.through >= offset || record.part >= record.parts)
        return misplaced;
    if (record.part == 0)
        begun_[writer] = { { offset, record.through }, record.parts, 0 };
    const auto found = begun_.find(writer);
    if (found == begun_.end())
        return misplaced;
    Begun &begun = found->second;
    if (record.part != begun.nextPart || record.parts != begun.parts
        || record.through != begun.place.through)
        return misplaced;
    ++begun.nextPart;
    if (begun.nextPart < begun.parts)
        return base::Done {};
    if (begun.place.through > newest_.through || newest_.firstPart == 0)
        newest_ = begun.place;
    begun_.erase(found);
    return base::Done {};
}

} // namespace zinniadoor::control
