#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "absl/time/time.h"

#include "zinniadoor/base/ids.hpp"
#include "zinniadoor/base/outcome.hpp"

namespace zinniadoor::ports {

struct LogEntry
{
    base::Offset offset = 0;
    std::string data;
};

struct LogPage
{
    std::vector<LogEntry> entries;
    base::Offset firstOffset = 0; ///< Oldest record still kept; 0 while the log is empty.
    base::Offset lastOffset = 0; ///< Newest record; 0 while the log is empty.
};

/// The platform's append-only log. Calls block; each belongs on a thread of its own duty.
class Log
{
public:
    virtual ~Log() = default;

    /// Appends one record and returns its offset. A timeout or a broken answer gives
    /// OutcomeUnknown: the record may be in the log all the same.
    virtual base::Outcome<base::Offset> append(const std::string &data) = 0;

    /// Records after `offset`, at most `limit`; waits up to `wait` for the first one.
    /// Gives Gone when records after `offset` have already been dropped by retention.
    virtual base::Outcome<LogPage> readAfter(base::Offset offset, std::size_t limit,
                                             absl::Duration wait)
        = 0;
};

} // namespace zinniadoor::ports
