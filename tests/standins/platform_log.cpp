#include "platform_log.hpp"

#include <algorithm>
#include <chrono>
#include <thread>

namespace zinniadoor::standins {
namespace {

/// Appends that would wait longer for the rate limit are rejected.
constexpr std::int64_t MaxQueueDelayUs = 1000000;
constexpr std::int64_t UsPerSecond = 1000000;
constexpr std::chrono::milliseconds DisconnectPollInterval { 100 };

std::int64_t steadyUs()
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

} // namespace

bool PlatformLog::waitForAppendSlot()
{
    if (options_.appendsPerSecond <= 0)
        return true;
    std::int64_t waitUs = 0;
    {
        const std::lock_guard lock(mutex_);
        const std::int64_t now = steadyUs();
        const std::int64_t appendAtUs = std::max(now, nextAppendUs_);
        if (appendAtUs - now > MaxQueueDelayUs)
            return false;
        nextAppendUs_ = appendAtUs + UsPerSecond / options_.appendsPerSecond;
        waitUs = appendAtUs - now;
    }
    std::this_thread::sleep_for(std::chrono::microseconds(waitUs));
    return true;
}

std::uint64_t PlatformLog::append(std::string record)
{
    const std::lock_guard lock(mutex_);
    records_.push_back(std::move(record));
    if (options_.retain > 0 && records_.size() > static_cast<std::size_t>(options_.retain))
        records_.pop_front();
    recordAppended_.notify_all();
    return ++last_;
}

LogPage PlatformLog::readAfter(std::uint64_t offset, std::size_t limit, std::int64_t waitMs,
                               const std::function<bool()> &stop)
{
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(waitMs);
    std::unique_lock lock(mutex_);
    while (last_ <= offset && std::chrono::steady_clock::now() < deadline && !stop())
        recordAppended_.wait_until(
            lock, std::min(deadline, std::chrono::steady_clock::now() + DisconnectPollInterval));
    return view(offset, limit);
}

std::uint64_t PlatformLog::appends() const
{
    const std::lock_guard lock(mutex_);
    return last_;
}

LogPage PlatformLog::view(std::uint64_t offset, std::size_t limit) const
{
    LogPage page;
    page.last = last_;
    page.first = records_.empty() ? 0 : last_ - records_.size() + 1;
    if (offset >= last_)
        return page;
    page.gone = offset + 1 < page.first;
    if (page.gone)
        return page;
    page.firstRecord = offset + 1;
    const std::size_t begin = page.firstRecord - page.first;
    const std::size_t end = std::min(records_.size(), begin + limit);
    for (std::size_t i = begin; i < end; ++i)
        page.records.push_back(records_[i]);
    return page;
}

} // namespace zinniadoor::standins
