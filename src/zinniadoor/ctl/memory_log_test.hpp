#pragma once

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include "zinniadoor/ports/log.hpp"

namespace zinniadoor::ctl {

/// In-memory log with configurable failures of appends and reads.
class MemoryLog : public ports::Log
{
public:
    struct Failure
    {
        base::Reason reason;
        bool stored = false; ///< The record is stored although the append reports a failure.
    };

    base::Outcome<base::Offset> append(const std::string &data) override
    {
        if (!failure || failure->stored)
            records.push_back(data);
        if (failure)
            return failure->reason;
        return records.size();
    }

    base::Outcome<ports::LogPage> readAfter(base::Offset offset, std::size_t limit,
                                            absl::Duration) override
    {
        if (unreadable)
            return *unreadable;
        ports::LogPage page;
        page.firstOffset = records.empty() ? 0 : 1;
        page.lastOffset = records.size();
        for (base::Offset i = offset; i < records.size() && page.entries.size() < limit; ++i)
            page.entries.push_back({ i + 1, records[i] });
        return page;
    }

    std::vector<std::string> records;
    std::optional<Failure> failure;
    std::optional<base::Reason> unreadable;
};

} // namespace zinniadoor::ctl
