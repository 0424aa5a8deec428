#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace zinniadoor::standins {

struct LogPageView
{
    std::vector<std::string> records;
    std::uint64_t firstRecord = 0; ///< Offset of `records[0]`.
    std::uint64_t first = 0; ///< Oldest offset kept; 0 while the log is empty.
    std::uint64_t last = 0;
    bool gone = false; ///< Records asked for were dropped.
};

/// The append-only log with limited retention. Any thread may call.
class PlatformLog
{
public:
    struct Options
    {
        std::int64_t retain = 0; ///< Records kept; 0: all.
        std::int64_t appendsPerSecond = 0; ///< 0: unbounded.
    };

    explicit PlatformLog(const Options &options)
        : options_(options)
    { }

    /// Waits for this append's turn; false when the queue is too long (nothing was appended).
    bool takeTurn();

    /// Returns the record's offset.
    std::uint64_t append(std::string record);

    /// Waits up to `waitMs` for a record after `offset`, or until `stop` holds.
    LogPageView readAfter(std::uint64_t offset, std::size_t limit, std::int64_t waitMs,
                          const std::function<bool()> &stop);
    std::uint64_t appends() const;

private:
    LogPageView view(std::uint64_t offset, std::size_t limit) const;

    const Options options_;
    mutable std::mutex mutex_;
    std::condition_variable grown_;
    std::deque<std::string> records_;
    std::uint64_t last_ = 0;
    std::int64_t nextTurnUs_ = 0;
};

} // namespace zinniadoor::standins
