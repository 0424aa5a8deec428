#include "zinniadoor/gateway/instance_list.hpp"

#include <algorithm>

#include "zinniadoor/base/codec.hpp"

namespace zinniadoor::gateway {

void InstanceList::apply(const JournalRecord &record)
{
    if (record.kind == JournalRecordKind::Copied) {
        isComplete_ = true;
        journalStarts_.clear();
    } else if (record.kind != JournalRecordKind::Usage) {
        std::uint64_t &incarnation = listed_[record.process.instance];
        incarnation = std::max(incarnation, record.process.incarnation);
    }
}

void InstanceList::applyJournal(const JournalRecord &record)
{
    if (isComplete_)
        return;
    const ProcessName &process = record.process;
    const auto found = journalStarts_.find(process.instance);
    const bool isNewest
        = found == journalStarts_.end() || found->second.process.incarnation <= process.incarnation;
    if (record.kind == JournalRecordKind::Started && isNewest)
        journalStarts_[process.instance] = record;
    else if (record.kind == JournalRecordKind::Stopped && isNewest)
        journalStarts_.erase(process.instance);
}

std::vector<std::string> InstanceList::nextCopies(std::size_t maxBytes) const
{
    std::vector<std::string> copies;
    std::size_t bytes = 0;
    for (const auto &[instance, started] : journalStarts_) {
        if (isListed(started.process))
            continue;
        copies.push_back(base::encode(started));
        bytes += copies.back().size();
        if (bytes >= maxBytes)
            return copies;
    }
    JournalRecord copied;
    copied.kind = JournalRecordKind::Copied;
    copies.push_back(base::encode(copied));
    return copies;
}

bool InstanceList::isListed(const ProcessName &process) const
{
    const auto found = listed_.find(process.instance);
    return found != listed_.end() && found->second >= process.incarnation;
}

} // namespace zinniadoor::gateway
