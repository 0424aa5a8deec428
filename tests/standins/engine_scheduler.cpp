#include "engine_scheduler.hpp"

#include <algorithm>

#include "call_log.hpp"

namespace zinniadoor::standins {
namespace {

/// How often a queued stream checks whether its client has disconnected.
constexpr std::chrono::milliseconds DisconnectPollInterval { 50 };
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
    current_.role = options.role;
    const std::lock_guard lock(mutex_);
    recordSample();
}

void EngineScheduler::enqueue(Job &job)
{
    const std::lock_guard lock(mutex_);
    job.number = ++lastNumber_;
    job.state = Job::State::Waiting;
    waiting_.emplace(job.deferable, job.number);
    ++current_.waiting;
    current_.prefillTokensWaiting += job.prefillTokens;
    recordSample();
}

bool EngineScheduler::waitForSlot(Job &job, const std::function<bool()> &stop)
{
    std::unique_lock lock(mutex_);
    const auto self = std::make_pair(job.deferable, job.number);
    while (*waiting_.begin() != self || current_.running >= options_.slots
           || !pages_.reserve(job.pages)) {
        changed_.wait_for(lock, DisconnectPollInterval);
        if (stop())
            return false;
    }
    waiting_.erase(self);
    job.state = Job::State::Prefilling;
    --current_.waiting;
    ++current_.running;
    recordSample();
    changed_.notify_all();
    return true;
}

SteadyTime EngineScheduler::startPrefill(Job &job)
{
    const std::lock_guard lock(mutex_);
    const double factor = current_.role == "decode" ? options_.offRoleFactor : 1;
    const auto start = std::max(prefillFreeAt_, std::chrono::steady_clock::now());
    prefillFreeAt_
        = start + timeFor(job.prefillTokens, factor * double(options_.prefillTokensPerSecond));
    return prefillFreeAt_;
}

void EngineScheduler::finishPrefill(Job &job)
{
    const std::lock_guard lock(mutex_);
    if (job.state != Job::State::Prefilling)
        return;
    job.state = Job::State::Decoding;
    current_.prefillTokensWaiting -= job.prefillTokens;
    recordSample();
}

void EngineScheduler::remove(Job &job)
{
    const std::lock_guard lock(mutex_);
    if (job.state == Job::State::New || job.state == Job::State::Done)
        return;
    if (job.state != Job::State::Decoding)
        current_.prefillTokensWaiting -= job.prefillTokens;
    if (job.state == Job::State::Waiting) {
        waiting_.erase({ job.deferable, job.number });
        --current_.waiting;
    } else {
        --current_.running;
        pages_.release(job.pages);
    }
    job.state = Job::State::Done;
    recordSample();
    changed_.notify_all();
}

std::chrono::nanoseconds EngineScheduler::tokenInterval() const
{
    const std::lock_guard lock(mutex_);
    const double factor = current_.role == "prefill" ? options_.offRoleFactor : 1;
    return timeFor(1, factor * double(options_.tokensPerSecond));
}

std::string EngineScheduler::role() const
{
    const std::lock_guard lock(mutex_);
    return current_.role;
}

void EngineScheduler::setRole(const std::string &role)
{
    const std::lock_guard lock(mutex_);
    current_.role = role;
    recordSample();
}

std::int64_t EngineScheduler::activeJobs() const
{
    const std::lock_guard lock(mutex_);
    return current_.running + current_.waiting;
}

LoadReport EngineScheduler::report()
{
    const std::lock_guard lock(mutex_);
    const std::int64_t visibleUntilMs = unixMs() - options_.loadLagMs;
    // The front is the newest sample that is at least `loadLagMs` old.
    while (history_.size() > 1 && history_[1].atMs <= visibleUntilMs)
        history_.pop_front();
    LoadReport report = history_.front().report;
    report.ageMs = options_.loadLagMs;
    return report;
}

/// Appends the current load to the history. Requires `mutex_` to be held.
void EngineScheduler::recordSample()
{
    current_.kvPagesFree = pages_.freePages();
    const std::int64_t atMs = unixMs();
    const std::int64_t visibleUntilMs = atMs - options_.loadLagMs;
    while (history_.size() > 1
           && (history_[1].atMs <= visibleUntilMs || history_.size() > MaxSamples))
        history_.pop_front();
    history_.push_back({ atMs, current_ });
}

} // namespace zinniadoor::standins
