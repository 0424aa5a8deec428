#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "zinniadoor/gateway/journal.hpp"

namespace zinniadoor::gateway {

/// Decides which starts of the journal the log of instances lacks. Instances of the version before
/// write to the journal only; their starts are copied once, which a record of the kind `Copied`
/// shows. Not thread-safe.
class InstanceList
{
public:
    /// A record of the log of instances, in the order of the log.
    void apply(const JournalRecord &record);

    /// A record of the journal, in the order of the journal.
    void applyJournal(const JournalRecord &record);

    /// Whether the log of instances has the starts of the journal.
    bool isComplete() const { return isComplete_; }
    void setComplete() { isComplete_ = true; }

    /// Records to append to the log of instances, encoded, at most about `maxBytes`. The last batch
    /// ends with the record that the copy is complete.
    std::vector<std::string> nextCopies(std::size_t maxBytes) const;

private:
    bool isListed(const ProcessName &process) const;

    std::map<std::string, std::uint64_t> listed_; ///< Latest incarnation by instance.
    std::map<std::string, JournalRecord> journalStarts_; ///< The latest, unless it has stopped.
    bool isComplete_ = false;
};

} // namespace zinniadoor::gateway
