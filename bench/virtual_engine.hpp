#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>

#include "absl/time/time.h"

#include "event_loop.hpp"
#include "scenario.hpp"
#include "zinniadoor/serving/endpoint_table.hpp"

namespace zinniadoor::bench {

/// A stream to run on an engine, with its callbacks.
struct EngineJob
{
    bool isDeferable = false;
    std::uint32_t prefillTokens = 0;
    std::uint32_t outputTokens = 0;
    std::function<void()> onFirstToken;
    std::function<void()> onFinish;
    /// The engine was terminated after this many tokens.
    std::function<void(std::uint32_t tokens)> onAborted;
};

/// Simulated engine on a virtual clock: a number of slots, sequential prefill, a constant decode
/// rate per stream, urgent before deferable requests, and no new streams during a change of role.
class VirtualEngine
{
public:
    using JobNumber = std::uint64_t;

    VirtualEngine(const EngineProfile &profile, control::Role role, EventLoop &loop);

    /// Queues a stream. Returns 0 if the engine rejects it, in which case nothing ran.
    JobNumber start(EngineJob job);

    /// Cancels a stream and returns the number of tokens it has generated.
    std::uint32_t cancel(JobNumber number);

    /// Rejects new streams during the change, then takes the new role and calls `done`.
    void changeRole(control::Role role, std::function<void()> done);

    void setFailing(bool isFailing) { isFailing_ = isFailing; }

    /// Stops the engine and aborts all its streams.
    void terminate();

    control::Role role() const { return role_; }
    bool isTerminated() const { return isTerminated_; }
    std::size_t inFlight() const { return jobs_.size(); }

    /// Load report that is stale by the profile's report age.
    serving::LoadReport report();

private:
    struct Running
    {
        EngineJob job;
        bool isRunning = false;
        bool isDecoding = false;
        absl::Time decodeStart; ///< Start of decoding at the current rate.
        double tokensBefore = 0; ///< Tokens generated before `decodeStart`.
        std::uint64_t version = 0; ///< Events scheduled for older versions are ignored.
    };
    void startNext();
    void run(JobNumber number, Running &running);
    void beginDecode(JobNumber number, Running &running);
    void scheduleFinish(JobNumber number, Running &running);
    double tokensSoFar(const Running &running) const;
    double streamDecodeRate() const;
    void sample(); ///< Appends the current load to the history.

    EngineProfile profile_;
    control::Role role_;
    EventLoop &loop_;
    std::map<JobNumber, Running> jobs_;
    JobNumber nextNumber_ = 1;
    std::uint64_t nextVersion_ = 1;
    std::uint32_t running_ = 0;
    std::uint64_t prefillWaiting_ = 0;
    absl::Time prefillFree_ = absl::InfinitePast();
    std::deque<serving::LoadReport> history_;
    bool isChangingRole_ = false;
    bool isFailing_ = false;
    bool isTerminated_ = false;
};

} // namespace zinniadoor::bench
