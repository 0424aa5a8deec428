#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <utility>

#include "page_cache.hpp"

namespace zinniadoor::standins {

using SteadyTime = std::chrono::steady_clock::time_point;

/// What an engine says of its load.
struct LoadReport
{
    std::int64_t running = 0;
    std::int64_t waiting = 0;
    std::int64_t prefillTokensWaiting = 0;
    std::int64_t kvPagesFree = 0;
    std::string role;
    std::int64_t ageMs = 0;
};

/// One stream's demand on the engine.
struct Job
{
    std::uint64_t number = 0;
    bool deferable = false;
    std::int64_t prefillTokens = 0;
    std::int64_t pages = 0;
    enum class State { New, Waiting, Prefilling, Decoding, Done } state = State::New;
};

/// Shares an engine's slots, memory and prefill rate among streams. Any thread may call.
class EngineScheduler
{
public:
    struct Options
    {
        std::int64_t slots = 0;
        std::int64_t prefillTokensPerSecond = 0; ///< Of the engine; 0: unbounded.
        std::int64_t tokensPerSecond = 0; ///< Of each stream; 0: unbounded.
        std::int64_t loadLagMs = 0;
        double offRoleFactor = 1; ///< Rate of the phase that the role does not serve.
        std::string role;
    };

    EngineScheduler(const Options &options, PageCache &pages);

    void enqueue(Job &job);

    /// Waits for a slot, urgent jobs first; false when `stop` held before.
    bool waitForSlot(Job &job, const std::function<bool()> &stop);

    /// When the job's prefill will be done.
    SteadyTime startPrefill(Job &job);
    void endPrefill(Job &job);

    /// Leaves in whatever state; more than once does no harm.
    void leave(Job &job);

    /// Time between two tokens of a stream.
    std::chrono::nanoseconds tokenInterval() const;
    std::string role() const;
    void setRole(const std::string &role);
    std::int64_t openJobs() const;

    /// The load as it was the options' lag ago.
    LoadReport report();

private:
    struct Sample
    {
        std::int64_t atMs = 0;
        LoadReport report;
    };

    void sample();

    const Options options_;
    PageCache &pages_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::uint64_t lastNumber_ = 0;
    std::set<std::pair<bool, std::uint64_t>> waiting_;
    LoadReport now_;
    SteadyTime prefillBusyUntil_;
    std::deque<Sample> history_;
};

} // namespace zinniadoor::standins
