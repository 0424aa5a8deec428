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

struct LogPage
{
    std::vector<std::string> records;
    std::uint64_t firstRecord = 0; ///< Offset of `records[0]`.
    std::uint64_t first = 0; ///< Oldest retained offset; 0: the log is empty.
    std::uint64_t last = 0;
    bool gone = false; ///< Requested records are no longer retained.
};

/// Append-only log with limited retention. Thread-safe.
class PlatformLog
{
public:
    struct Options
    {
        std::int64_t retain = 0; ///< Number of records retained; 0: all.
        std::int64_t appendsPerSecond = 0; ///< 0: unlimited.
    };

    explicit PlatformLog(const Options &options)
        : options_(options)
    { }

    /// Blocks until the rate limit admits an append. Returns false if the queue is too long.
    bool waitForAppendSlot();

    /// Returns the record's offset.
    std::uint64_t append(std::string record);

    /// Waits up to `waitMs` for a record after `offset`, or until `stop` returns true.
    LogPage readAfter(std::uint64_t offset, std::size_t limit, std::int64_t waitMs,
                      const std::function<bool()> &stop);
    std::uint64_t appends() const;

private:
    LogPage view(std::uint64_t offset, std::size_t limit) const;

    const Options options_;
    mutable std::mutex mutex_;
    std::condition_variable recordAppended_;
    std::deque<std::string> records_;
    std::uint64_t last_ = 0;
    std::int64_t nextAppendUs_ = 0;
};

} // namespace zinniadoor::standins
