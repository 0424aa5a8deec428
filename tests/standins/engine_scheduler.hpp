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

/// Load of an engine as reported by `GET /load`.
struct LoadReport
{
    std::int64_t running = 0;
    std::int64_t waiting = 0;
    std::int64_t prefillTokensWaiting = 0;
    std::int64_t kvPagesFree = 0;
    std::string role;
    std::int64_t ageMs = 0;
};

/// Resources that a stream needs from the engine.
struct Job
{
    std::uint64_t number = 0;
    bool deferable = false;
    std::int64_t prefillTokens = 0;
    std::int64_t pages = 0;
    enum class State { New, Waiting, Prefilling, Decoding, Done } state = State::New;
};

/// Allocates an engine's slots, KV pages and prefill rate to streams. Thread-safe.
class EngineScheduler
{
public:
    struct Options
    {
        std::int64_t slots = 0;
        std::int64_t prefillTokensPerSecond = 0; ///< Shared by all streams; 0: unlimited.
        std::int64_t tokensPerSecond = 0; ///< Per stream; 0: unlimited.
        std::int64_t loadLagMs = 0; ///< Staleness of load reports.
        double offRoleFactor = 1; ///< Rate multiplier for the phase that the role does not serve.
        std::string role;
    };

    EngineScheduler(const Options &options, PageCache &pages);

    void enqueue(Job &job);

    /// Waits for a slot; urgent jobs go first. Returns false if `stop` returned true before.
    bool waitForSlot(Job &job, const std::function<bool()> &stop);

    /// Queues the job's prefill; returns its completion time.
    SteadyTime startPrefill(Job &job);
    void finishPrefill(Job &job);

    /// Releases the job's resources, whatever its state. Idempotent.
    void remove(Job &job);

    /// Time between two tokens of a stream.
    std::chrono::nanoseconds tokenInterval() const;
    std::string role() const;
    void setRole(const std::string &role);
    std::int64_t activeJobs() const;

    /// Load as of `loadLagMs` ago.
    LoadReport report();

private:
    struct Sample
    {
        std::int64_t atMs = 0;
        LoadReport report;
    };

    void recordSample();

    const Options options_;
    PageCache &pages_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::uint64_t lastNumber_ = 0;
    std::set<std::pair<bool, std::uint64_t>> waiting_;
    LoadReport current_;
    SteadyTime prefillFreeAt_;
    std::deque<Sample> history_;
};

} // namespace zinniadoor::standins
