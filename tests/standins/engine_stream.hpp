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

/// An engine's answer to one request: waits for its turn, then one event a token.
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
        Request request; ///< For its connection; without the body.
        std::uint64_t call = 0; ///< Number in the call log.
    };

    EngineStream(Options options, Job job, EngineScheduler &scheduler, CallLog &calls,
                 const FaultList &faults);
    EngineStream(const EngineStream &) = delete;
    EngineStream &operator=(const EngineStream &) = delete;
    ~EngineStream() override;

    StreamStep next(std::string &bytes) override;
    void closed(bool complete) override;

    /// Ends the stream at its next token; `end` goes to the call log.
    void stop(const char *end);

private:
    bool takeTurn();
    bool waitUntil(SteadyTime due);
    bool mustStop();
    StreamStep strike(std::string &bytes);
    std::string event(std::int64_t offset) const;
    std::string lastEvents() const;
    StreamStep endWith(const char *end, StreamStep step);
    void note();

    const Options options_;
    const std::uint64_t promptHash_;
    Job job_;
    EngineScheduler &scheduler_;
    CallLog &calls_;
    const FaultList &faults_;
    std::atomic<const char *> stopEnd_ { nullptr };
    StreamOutcome outcome_;
    bool started_ = false;
    bool ended_ = false; ///< Everything was handed over, or the stream broke.
    bool lastSent_ = false;
    std::int64_t offset_ = 0;
    SteadyTime due_;
};

} // namespace zinniadoor::standins
