#include "engine_stream.hpp"

#include <algorithm>
#include <thread>

#include <nlohmann/json.hpp>

#include "standin.hpp"

namespace zinniadoor::standins {
namespace {

/// How often a stream checks whether its client has disconnected.
constexpr std::chrono::milliseconds DisconnectPollInterval { 20 };

std::string sse(const nlohmann::json &json)
{
    return "data: " + json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n\n";
}

} // namespace

EngineStream::EngineStream(Options options, Job job, EngineScheduler &scheduler, CallLog &calls,
                           const FaultList &faults)
    : options_(std::move(options))
    , promptHash_(hashOf(options_.prompt.text))
    , job_(job)
    , scheduler_(scheduler)
    , calls_(calls)
    , faults_(faults)
    , offset_(options_.firstOffset)
{
    outcome_.firstOffset = options_.firstOffset;
    scheduler_.enqueue(job_);
    recordOutcome();
}

EngineStream::~EngineStream()
{
    onClosed(false);
}

StreamStep EngineStream::next(std::string &bytes)
{
    if (finalEventsSent_)
        return finish("finished", StreamStep::End);
    if (!prefillDone_ && !waitForPrefill())
        return finish(stopReason_ ? stopReason_.load() : "left", StreamStep::Abort);
    prefillDone_ = true;
    if (offset_ < options_.prompt.maxTokens && !waitUntil(nextTokenTime_))
        return finish(stopReason_ ? stopReason_.load() : "left", StreamStep::Abort);
    const bool faultDue = options_.fault
        && outcome_.tokensSent
            == std::max<std::int64_t>(0, options_.fault->afterTokens.value_or(0));
    if (faultDue) {
        const StreamStep step = applyFault(bytes);
        if (step != StreamStep::Data)
            return step;
    }
    if (offset_ >= options_.prompt.maxTokens) {
        finalEventsSent_ = true;
        bytes += finalEvents();
        return StreamStep::Data;
    }
    bytes += tokenEvent(offset_++);
    ++outcome_.tokensSent;
    recordOutcome();
    nextTokenTime_
        = std::max(nextTokenTime_ + scheduler_.tokenInterval(), std::chrono::steady_clock::now());
    return StreamStep::Data;
}

void EngineStream::onClosed(bool)
{
    scheduler_.remove(job_);
    if (ended_)
        return;
    ended_ = true;
    outcome_.end = "left";
    recordOutcome();
}

void EngineStream::stop(const char *end)
{
    stopReason_ = end;
}

/// Waits for a slot, then for prefill. Returns false if the stream was stopped before.
bool EngineStream::waitForPrefill()
{
    if (!scheduler_.waitForSlot(job_, [this] { return shouldStop(); }))
        return false;
    nextTokenTime_ = scheduler_.startPrefill(job_);
    if (!waitUntil(nextTokenTime_))
        return false;
    scheduler_.finishPrefill(job_);
    return true;
}

bool EngineStream::waitUntil(SteadyTime due)
{
    while (!shouldStop()) {
        const bool muted = faults_.isMuted(options_.request.connection);
        const auto remaining = due - std::chrono::steady_clock::now();
        if (remaining <= remaining.zero() && !muted)
            return true;
        std::this_thread::sleep_for(
            muted ? DisconnectPollInterval
                  : std::min<std::chrono::nanoseconds>(DisconnectPollInterval, remaining));
    }
    return false;
}

bool EngineStream::shouldStop()
{
    return stopReason_ || options_.request.clientDisconnected();
}

/// Applies the fault. `StreamStep::Data`: the stream continues.
StreamStep EngineStream::applyFault(std::string &bytes)
{
    switch (options_.fault->kind) {
    case FaultKind::Vanish:
        crash();
    case FaultKind::Truncate:
        return finish("fault", options_.fault->clean ? StreamStep::End : StreamStep::Abort);
    case FaultKind::Stall:
        while (!shouldStop())
            std::this_thread::sleep_for(DisconnectPollInterval);
        return finish(stopReason_ ? stopReason_.load() : "left", StreamStep::Abort);
    case FaultKind::Gap:
        offset_ = std::min(offset_ + 1, options_.prompt.maxTokens);
        break;
    case FaultKind::Double:
        if (offset_ > options_.firstOffset)
            bytes += tokenEvent(offset_ - 1);
        break;
    default:
        break;
    }
    return StreamStep::Data;
}

std::string EngineStream::tokenEvent(std::int64_t offset) const
{
    const std::string token = outputToken(promptHash_, offset);
    nlohmann::json choice { { "index", 0 } };
    if (options_.prompt.chat)
        choice["delta"] = { { "content", token } };
    else
        choice["text"] = token;
    const bool crossed = options_.fault && options_.fault->kind == FaultKind::Cross
        && outcome_.tokensSent >= options_.fault->afterTokens.value_or(0);
    const std::string id = crossed ? "crossed-" + options_.requestId : options_.requestId;
    return sse({ { "id", id }, { "offset", offset }, { "choices", { choice } } });
}

std::string EngineStream::finalEvents() const
{
    nlohmann::json choice { { "index", 0 }, { "finish_reason", "stop" } };
    if (options_.prompt.chat)
        choice["delta"] = nlohmann::json::object();
    else
        choice["text"] = "";
    const nlohmann::json usage { { "prompt_tokens", options_.promptTokens },
                                 { "completion_tokens", options_.prompt.maxTokens } };
    const nlohmann::json last { { "id", options_.requestId },
                                { "offset", options_.prompt.maxTokens },
                                { "choices", { choice } },
                                { "usage", usage } };
    return sse(last) + "data: [DONE]\n\n";
}

StreamStep EngineStream::finish(const char *end, StreamStep step)
{
    ended_ = true;
    outcome_.end = end;
    scheduler_.remove(job_);
    recordOutcome();
    return step;
}

void EngineStream::recordOutcome()
{
    calls_.setStream(options_.call, outcome_);
}

} // namespace zinniadoor::standins
