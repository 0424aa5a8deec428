#include "zinniadoor/daemon/log_threads.hpp"

#include <utility>

namespace zinniadoor::daemon {

namespace {

constexpr absl::Duration IdleWait = absl::Milliseconds(200);
constexpr absl::Duration FullRingPause = absl::Milliseconds(1);
constexpr absl::Duration FailurePause = absl::Milliseconds(100);
constexpr std::size_t RequestRingCapacity = 64;

// The core never waits for these threads, so waiting for room in its ring cannot deadlock.
void pushWaiting(CoreRing &core, CoreMessage message, const std::atomic<bool> &stopping)
{
    while (!core.tryPush(std::move(message)) && !stopping)
        absl::SleepFor(FullRingPause);
}

} // namespace

LogTail::LogTail(Options options, std::unique_ptr<ports::Log> log, const base::Clock &clock,
                 CoreRing &core)
    : options_(options)
    , log_(std::move(log))
    , clock_(clock)
    , core_(core)
    , requests_(RequestRingCapacity)
    , thread_([this] { run(); })
{ }

LogTail::~LogTail()
{
    stopping_ = true;
    requests_.wake();
    thread_.join();
}

void LogTail::readAfter(base::Offset offset)
{
    requests_.tryPush(std::move(offset));
}

void LogTail::run()
{
    while (!stopping_) {
        const std::optional<base::Offset> after = requests_.pop(IdleWait);
        if (!after)
            continue;
        base::Outcome<ports::LogPage> page
            = log_->readAfter(*after, options_.pageRecords, options_.wait);
        if (page) {
            tell(LogRead { std::move(*page), *after, clock_.now() });
            continue;
        }
        absl::SleepFor(FailurePause);
        tell(LogUnreadable { *after, page.lastReason() });
    }
}

void LogTail::tell(CoreMessage message)
{
    pushWaiting(core_, std::move(message), stopping_);
}

LogAppender::LogAppender(std::unique_ptr<ports::Log> log, CoreRing &core)
    : log_(std::move(log))
    , core_(core)
    , requests_(RequestRingCapacity)
    , thread_([this] { run(); })
{ }

LogAppender::~LogAppender()
{
    stopping_ = true;
    requests_.wake();
    thread_.join();
}

bool LogAppender::append(AppendRequest request)
{
    return requests_.tryPush(std::move(request));
}

void LogAppender::run()
{
    while (!stopping_) {
        std::optional<AppendRequest> request = requests_.pop(IdleWait);
        if (!request)
            continue;
        AppendEnded ended { request->sequence, log_->append(request->bytes) };
        pushWaiting(core_, std::move(ended), stopping_);
    }
}

} // namespace zinniadoor::daemon
