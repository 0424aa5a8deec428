#include "call_log.hpp"

#include <nlohmann/json.hpp>

#include "absl/time/clock.h"
#include "absl/time/time.h"

namespace zinniadoor::standins {
namespace {

constexpr std::size_t MaxCalls = 20000;
constexpr std::size_t MaxBytes = std::size_t { 256 } * 1024 * 1024;
constexpr std::size_t MaxCounters = 1000;

std::size_t sizeOf(const ReceivedCall &call)
{
    std::size_t size = sizeof call + call.request.path.size() + call.request.body.size();
    for (const auto &[name, value] : call.request.headers)
        size += name.size() + value.size();
    return size;
}

nlohmann::json describe(const ReceivedOrder &order)
{
    return { { "kind", order.kind },
             { "argument", order.argument },
             { "fencing", order.fencing },
             { "slot", order.slot },
             { "outcome", order.outcome },
             { "overlapped", order.overlapped },
             { "open_streams", order.openStreams } };
}

nlohmann::json describe(const ReceivedCall &call)
{
    nlohmann::json out { { "method", call.request.method }, { "path", call.request.path },
                         { "query", call.request.query },   { "headers", nlohmann::json::object() },
                         { "body", call.request.body },     { "at_ms", call.atMs },
                         { "status", call.status } };
    for (const auto &[name, value] : call.request.headers)
        out["headers"][name] = value;
    if (!call.fault.empty())
        out["fault"] = call.fault;
    if (call.order)
        out["order"] = describe(*call.order);
    if (call.stream) {
        out["finished"] = call.stream->end == "finished";
        out["end"] = call.stream->end;
        out["tokens_sent"] = call.stream->tokensSent;
        out["first_offset"] = call.stream->firstOffset;
    }
    return out;
}

} // namespace

std::int64_t unixMs()
{
    return absl::ToUnixMillis(absl::Now());
}

std::uint64_t CallLog::add(const Request &request)
{
    countCall(request);
    const std::lock_guard lock(mutex_);
    ReceivedCall call;
    call.request = request;
    call.atMs = unixMs();
    bytes_ += sizeOf(call);
    calls_.push_back(std::move(call));
    while (calls_.size() > MaxCalls || (bytes_ > MaxBytes && calls_.size() > 1)) {
        bytes_ -= sizeOf(calls_.front());
        calls_.pop_front();
        ++firstNumber_;
    }
    return firstNumber_ + calls_.size() - 1;
}

void CallLog::countCall(const Request &request)
{
    const std::lock_guard lock(mutex_);
    const std::string name = request.method + " " + request.path;
    if (counts_.size() < MaxCounters || counts_.count(name) > 0)
        ++counts_[name];
}

ReceivedCall *CallLog::find(std::uint64_t call)
{
    if (call < firstNumber_ || call >= firstNumber_ + calls_.size())
        return nullptr;
    return &calls_[call - firstNumber_];
}

void CallLog::setStatus(std::uint64_t call, int status)
{
    const std::lock_guard lock(mutex_);
    if (ReceivedCall *found = find(call))
        found->status = status;
}

void CallLog::setFault(std::uint64_t call, const std::string &kind)
{
    const std::lock_guard lock(mutex_);
    if (ReceivedCall *found = find(call))
        found->fault = kind;
}

void CallLog::setStream(std::uint64_t call, const StreamOutcome &stream)
{
    const std::lock_guard lock(mutex_);
    if (ReceivedCall *found = find(call))
        found->stream = stream;
}

void CallLog::setOrder(std::uint64_t call, const ReceivedOrder &order)
{
    const std::lock_guard lock(mutex_);
    if (ReceivedCall *found = find(call))
        found->order = order;
}

nlohmann::json CallLog::callsToJson(const std::string &pathPrefix) const
{
    const std::lock_guard lock(mutex_);
    nlohmann::json out = nlohmann::json::array();
    for (const ReceivedCall &call : calls_) {
        if (call.request.path.rfind(pathPrefix, 0) == 0)
            out.push_back(describe(call));
    }
    return out;
}

nlohmann::json CallLog::countsToJson() const
{
    const std::lock_guard lock(mutex_);
    return counts_;
}

} // namespace zinniadoor::standins
