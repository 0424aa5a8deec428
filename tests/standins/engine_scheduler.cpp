#include "engine_scheduler.hpp"

#include <algorithm>

#include "call_log.hpp"

namespace zinniadoor::standins {
namespace {

/// How often a waiting stream looks whether its caller left.
constexpr std::chrono::milliseconds StopPoll { 50 };
constexpr std::size_t MaxSamples = 100000;

std::chrono::nanoseconds timeFor(std::int64_t tokens, double tokensPerSecond)
{
    if (tokensPerSecond <= 0)
        return std::chrono::nanoseconds(0);
    return std::chrono::nanoseconds(static_cast<std::int64_t>(1e9 * tokens / tokensPerSecond));
}

} // namespace

EngineScheduler::EngineScheduler(const Options &options, PageCache &pages)
    : options_(options)
    , pages_(pages)
{
    now_.role = options.role;
    const std::lock_guard lock(mutex_);
    sample();
}

void EngineScheduler::enqueue(Job &job)
{
    const std::lock_guard lock(mutex_);
    job.number = ++lastNumber_;
    job.state = Job::State::Waiting;
    waiting_.emplace(job.deferable, job.number);
    ++now_.waiting;
    now_.prefillTokensWaiting += job.prefillTokens;
    sample();
}

bool EngineScheduler::waitForSlot(Job &job, const std::function<bool()> &stop)
{
    std::unique_lock lock(mutex_);
    const auto self = std::make_pair(job.deferable, job.number);
    while (*waiting_.begin() != self || now_.running >= options_.slots || !pages_.hold(job.pages)) {
        changed_.wait_for(lock, StopPoll);
        if (stop())
            return false;
    }
    waiting_.erase(self);
    job.state = Job::State::Prefilling;
    --now_.waiting;
    ++now_.running;
    sample();
    changed_.notify_all();
    return true;
}

SteadyTime EngineScheduler::startPrefill(Job &job)
{
    const std::lock_guard lock(mutex_);
    const double factor = now_.role == "decode" ? options_.offRoleFactor : 1;
    const auto start = std::max(prefillBusyUntil_, std::chrono::steady_clock::now());
    prefillBusyUntil_
        = start + timeFor(job.prefillTokens, factor * double(options_.prefillTokensPerSecond));
    return prefillBusyUntil_;
}

void EngineScheduler::endPrefill(Job &job)
{
    const std::lock_guard lock(mutex_);
    if (job.state != Job::State::Prefilling)
        return;
    job.state = Job::State::Decoding;
    now_.prefillTokensWaiting -= job.prefillTokens;
    sample();
}

void EngineScheduler::leave(Job &job)
{
    const std::lock_guard lock(mutex_);
    if (job.state == Job::State::New || job.state == Job::State::Done)
        return;
    if (job.state != Job::State::Decoding)
        now_.prefillTokensWaiting -= job.prefillTokens;
    if (job.state == Job::State::Waiting) {
        waiting_.erase({ job.deferable, job.number });
        --now_.waiting;
    } else {
        --now_.running;
        pages_.release(job.pages);
    }
    job.state = Job::State::Done;
    sample();
    changed_.notify_all();
}

std::chrono::nanoseconds EngineScheduler::tokenInterval() const
{
    const std::lock_guard lock(mutex_);
    const double factor = now_.role == "prefill" ? options_.offRoleFactor : 1;
    return timeFor(1, factor * double(options_.tokensPerSecond));
}

std::string EngineScheduler::role() const
{
    const std::lock_guard lock(mutex_);
    return now_.role;
}

void EngineScheduler::setRole(const std::string &role)
{
    const std::lock_guard lock(mutex_);
    now_.role = role;
    sample();
}

std::int64_t EngineScheduler::openJobs() const
{
    const std::lock_guard lock(mutex_);
    return now_.running + now_.waiting;
}

LoadReport EngineScheduler::report()
{
    const std::lock_guard lock(mutex_);
    const std::int64_t shown = unixMs() - options_.loadLagMs;
    // The newest sample that is old enough stays at the front.
    while (history_.size() > 1 && history_[1].atMs <= shown)
        history_.pop_front();
    LoadReport report = history_.front().report;
    report.ageMs = options_.loadLagMs;
    return report;
}

/// Notes the load of this moment. The caller holds the mutex.
void EngineScheduler::sample()
{
    now_.kvPagesFree = pages_.freePages();
    const std::int64_t atMs = unixMs();
    const std::int64_t shown = atMs - options_.loadLagMs;
    while (history_.size() > 1 && (history_[1].atMs <= shown || history_.size() > MaxSamples))
        history_.pop_front();
    history_.push_back({ atMs, now_ });
}

} // namespace zinniadoor::standins
