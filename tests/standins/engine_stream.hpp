#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>

#include "call_log.hpp"
#include "engine_scheduler.hpp"
#include "faults.hpp"
#include "http_server.hpp"
#include "prompt.hpp"

namespace zinniadoor::standins {

/// Response body of one completion: waits for a slot and prefill, then sends one event per token.
class EngineStream : public BodyStream
{
public:
    struct Options
    {
        std::string requestId;
        Prompt prompt;
        std::int64_t promptTokens = 0;
        std::int64_t firstOffset = 0;
        std::optional<Fault> fault;
        Request request; ///< To detect disconnection; without the body.
        std::uint64_t call = 0; ///< Number in the call log.
    };

    EngineStream(Options options, Job job, EngineScheduler &scheduler, CallLog &calls,
                 const FaultList &faults);
    EngineStream(const EngineStream &) = delete;
    EngineStream &operator=(const EngineStream &) = delete;
    ~EngineStream() override;

    StreamStep next(std::string &bytes) override;
    void onClosed(bool complete) override;

    /// Aborts the stream before its next token; `end` is recorded in the call log.
    void stop(const char *end);

private:
    bool waitForPrefill();
    bool waitUntil(SteadyTime due);
    bool shouldStop();
    StreamStep applyFault(std::string &bytes);
    std::string tokenEvent(std::int64_t offset) const;
    std::string finalEvents() const;
    StreamStep finish(const char *end, StreamStep step);
    void recordOutcome();

    const Options options_;
    const std::uint64_t promptHash_;
    Job job_;
    EngineScheduler &scheduler_;
    CallLog &calls_;
    const FaultList &faults_;
    std::atomic<const char *> stopReason_ { nullptr };
    StreamOutcome outcome_;
    bool prefillDone_ = false;
    bool ended_ = false; ///< All events were sent, or the stream was aborted.
    bool finalEventsSent_ = false;
    std::int64_t offset_ = 0;
    SteadyTime nextTokenTime_;
};

} // namespace zinniadoor::standins
