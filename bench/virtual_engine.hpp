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

/// One stream on an engine.
struct EngineJob
{
    bool isDeferable = false;
    std::uint32_t prefillTokens = 0;
    std::uint32_t outputTokens = 0;
    std::function<void()> onFirstToken;
    std::function<void()> onFinish;
    std::function<void(std::uint32_t tokens)> onBroken; ///< The engine went after so many tokens.
};

/// The pace of the stand-in engine on a virtual clock: slots, one prefill after another, a
/// constant pace per stream, urgent before deferable, a pause for changes of role.
class VirtualEngine
{
public:
    using JobNumber = std::uint64_t;

    VirtualEngine(const EnginePace &pace, control::Role role, EventLoop &loop);

    /// Takes a stream; 0 when it refuses (nothing has run).
    JobNumber start(EngineJob job);

    /// Ends a stream and returns how many tokens it gave out.
    std::uint32_t cancel(JobNumber number);

    /// Refuses new streams for the time of the change, then has the new role.
    void changeRole(control::Role role, std::function<void()> done);

    void setFailing(bool isFailing) { isFailing_ = isFailing; }
    void vanish();

    control::Role role() const { return role_; }
    bool isGone() const { return isGone_; }
    std::size_t inFlight() const { return jobs_.size(); }

    /// The load as it was the pace's report age ago.
    serving::LoadReport report();

private:
    struct Running
    {
        EngineJob job;
        bool isRunning = false;
        bool isDecoding = false;
        absl::Time decodeStart; ///< Of the part at the present pace.
        double tokensBefore = 0; ///< Given out before that part.
        std::uint64_t version = 0; ///< Events of older versions are void.
    };
    void startNext();
    void run(JobNumber number, Running &running);
    void beginDecode(JobNumber number, Running &running);
    void scheduleFinish(JobNumber number, Running &running);
    double tokensSoFar(const Running &running) const;
    double streamPace() const;
    void sample();

    EnginePace pace_;
    control::Role role_;
    EventLoop &loop_;
    std::map<JobNumber, Running> jobs_;
    JobNumber nextNumber_ = 1;
    std::uint64_t nextVersion_ = 1;
    std::uint32_t running_ = 0;
    std::uint64_t prefillWaiting_ = 0;
    absl::Time prefillFree_ = absl::InfinitePast();
    std::deque<serving::LoadReport> history_;
    bool isChanging_ = false;
    bool isFailing_ = false;
    bool isGone_ = false;
};

} // namespace zinniadoor::bench
