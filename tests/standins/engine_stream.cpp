#include "engine_stream.hpp"

#include <algorithm>
#include <thread>

#include <nlohmann/json.hpp>

#include "standin.hpp"

namespace zinniadoor::standins {
namespace {

/// How often a stream looks whether its caller left.
constexpr std::chrono::milliseconds StopPoll { 20 };

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
    note();
}

EngineStream::~EngineStream()
{
    closed(false);
}

StreamStep EngineStream::next(std::string &bytes)
{
    if (lastSent_)
        return endWith("finished", StreamStep::End);
    if (!started_ && !takeTurn())
        return endWith(stopEnd_ ? stopEnd_.load() : "left", StreamStep::Break);
    started_ = true;
    if (offset_ < options_.prompt.maxTokens && !waitUntil(due_))
        return endWith(stopEnd_ ? stopEnd_.load() : "left", StreamStep::Break);
    const bool strikesNow = options_.fault
        && outcome_.tokensSent
            == std::max<std::int64_t>(0, options_.fault->afterTokens.value_or(0));
    if (strikesNow) {
        const StreamStep step = strike(bytes);
        if (step != StreamStep::Data)
            return step;
    }
    if (offset_ >= options_.prompt.maxTokens) {
        lastSent_ = true;
        bytes += lastEvents();
        return StreamStep::Data;
    }
    bytes += event(offset_++);
    ++outcome_.tokensSent;
    note();
    due_ = std::max(due_ + scheduler_.tokenInterval(), std::chrono::steady_clock::now());
    return StreamStep::Data;
}

void EngineStream::closed(bool)
{
    scheduler_.leave(job_);
    if (ended_)
        return;
    ended_ = true;
    outcome_.end = "left";
    note();
}

void EngineStream::stop(const char *end)
{
    stopEnd_ = end;
}

/// Waits for a slot and for the prompt's prefill.
bool EngineStream::takeTurn()
{
    if (!scheduler_.waitForSlot(job_, [this] { return mustStop(); }))
        return false;
    due_ = scheduler_.startPrefill(job_);
    if (!waitUntil(due_))
        return false;
    scheduler_.endPrefill(job_);
    return true;
}

bool EngineStream::waitUntil(SteadyTime due)
{
    while (!mustStop()) {
        const bool muted = faults_.isMuted(options_.request.connection);
        const auto left = due - std::chrono::steady_clock::now();
        if (left <= left.zero() && !muted)
            return true;
        std::this_thread::sleep_for(muted ? StopPoll
                                          : std::min<std::chrono::nanoseconds>(StopPoll, left));
    }
    return false;
}

bool EngineStream::mustStop()
{
    return stopEnd_ || options_.request.peerLeft();
}

/// Lets the fault take effect; Data means that the stream goes on.
StreamStep EngineStream::strike(std::string &bytes)
{
    switch (options_.fault->kind) {
    case FaultKind::Vanish:
        crash();
    case FaultKind::Truncate:
        return endWith("fault", options_.fault->clean ? StreamStep::End : StreamStep::Break);
    case FaultKind::Stall:
        while (!mustStop())
            std::this_thread::sleep_for(StopPoll);
        return endWith(stopEnd_ ? stopEnd_.load() : "left", StreamStep::Break);
    case FaultKind::Gap:
        offset_ = std::min(offset_ + 1, options_.prompt.maxTokens);
        break;
    case FaultKind::Double:
        if (offset_ > options_.firstOffset)
            bytes += event(offset_ - 1);
        break;
    default:
        break;
    }
    return StreamStep::Data;
}

std::string EngineStream::event(std::int64_t offset) const
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

std::string EngineStream::lastEvents() const
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

StreamStep EngineStream::endWith(const char *end, StreamStep step)
{
    ended_ = true;
    outcome_.end = end;
    scheduler_.leave(job_);
    note();
    return step;
}

void EngineStream::note()
{
    calls_.setStream(options_.call, outcome_);
}

} // namespace zinniadoor::standins
