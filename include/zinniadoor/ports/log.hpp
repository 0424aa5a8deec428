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
    base::Offset firstOffset = 0; ///< Oldest retained record; 0 while the log is empty.
    base::Offset lastOffset = 0; ///< Newest record; 0 while the log is empty.
};

/// The platform's append-only log. Calls block, so that each kind of call needs its own thread.
class Log
{
public:
    virtual ~Log() = default;

    /// Appends one record and returns its offset. Fails with OutcomeUnknown after a timeout or a
    /// truncated response: the record may have been appended.
    virtual base::Outcome<base::Offset> append(const std::string &data) = 0;

    /// Returns up to `limit` records after `offset`, waiting up to `wait` for the first one. Fails
    /// with Gone if retention has already removed records after `offset`.
    virtual base::Outcome<LogPage> readAfter(base::Offset offset, std::size_t limit,
                                             absl::Duration wait)
        = 0;
};

} // namespace zinniadoor::ports
