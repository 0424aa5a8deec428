#include "zinniadoor/daemon/log_threads.hpp"

#include <utility>

namespace zinniadoor::daemon {

namespace {

constexpr absl::Duration PollInterval = absl::Milliseconds(200);
constexpr absl::Duration RetryDelay = absl::Milliseconds(100);
constexpr std::size_t RequestRingCapacity = 64;

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

void LogTail::read(const control::ReplayRead &request)
{
    requests_.tryPush(control::ReplayRead(request));
}

void LogTail::run()
{
    while (!stopping_) {
        const std::optional<control::ReplayRead> request = requests_.pop(PollInterval);
        if (!request)
            continue;
        const absl::Duration wait = request->mayWait ? options_.wait : absl::ZeroDuration();
        base::Outcome<ports::LogPage> page = log_->readAfter(request->after, request->limit, wait);
        if (page) {
            const absl::Time readAt = clock_.now();
            post(LogPageRead { control::preparePage(*page), request->after, readAt });
            continue;
        }
        absl::SleepFor(RetryDelay);
        post(LogReadFailed { request->after, page.lastReason() });
    }
}

void LogTail::post(CoreMessage message)
{
    pushBlocking(core_, std::move(message), [this] { return stopping_.load(); });
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
        std::optional<AppendRequest> request = requests_.pop(PollInterval);
        if (!request)
            continue;
        const std::size_t bytes = request->bytes.size();
        LogAppendCompleted completed { request->sequence, bytes, log_->append(request->bytes) };
        pushBlocking(core_, std::move(completed), [this] { return stopping_.load(); });
    }
}

} // namespace zinniadoor::daemon
