#include "zinniadoor/daemon/endpoint_poller.hpp"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"

#include "zinniadoor/serving/prefix_view.hpp"

namespace zinniadoor::daemon {

namespace {

using Json = nlohmann::json;

constexpr absl::Duration PollTimeout = absl::Seconds(1);
constexpr std::size_t MaxPollBytes = 1024UL * 1024;
constexpr int StatusOk = 200;

template <typename Number>
Number numberAt(const Json &object, const char *key)
{
    const auto found = object.find(key);
    const bool good = found != object.end() && found->is_number_unsigned();
    return good ? found->get<Number>() : Number {};
}

std::string stringAt(const Json &object, const char *key)
{
    const auto found = object.find(key);
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

} // namespace

EndpointPoller::EndpointPoller(Options options, const base::Clock &clock, CallTable &calls,
                               serving::EndpointTable &table)
    : options_(options)
    , clock_(clock)
    , calls_(calls)
    , table_(table)
{ }

EndpointPoller::~EndpointPoller()
{
    for (const auto &[call, poll] : polls_)
        calls_.cancel(call);
}

void EndpointPoller::setEndpoints(const std::vector<control::Endpoint> &endpoints)
{
    absl::flat_hash_map<base::EndpointId, Target> targets;
    order_.clear();
    for (const control::Endpoint &endpoint : endpoints) {
        if (endpoint.kind != control::EndpointKind::Engine)
            continue;
        Target target { endpoint, 0 };
        const auto old = targets_.find(endpoint.id);
        if (old != targets_.end() && old->second.endpoint.address == endpoint.address)
            target.lastCacheEvent = old->second.lastCacheEvent;
        targets[endpoint.id] = std::move(target);
        order_.push_back(endpoint.id);
    }
    targets_ = std::move(targets);
}

// Polls are evenly spaced: each engine once per interval, or less often if that would exceed
// `maxPerSecond`.
void EndpointPoller::tick(absl::Time now)
{
    if (order_.empty())
        return;
    const auto count = static_cast<double>(order_.size());
    const absl::Duration spacing
        = std::max(options_.interval / count, absl::Seconds(1 / options_.maxPerSecond));
    nextAt_ = std::max(nextAt_, now - options_.interval);
    while (now >= nextAt_) {
        nextAt_ += spacing;
        next_ = (next_ + 1) % order_.size();
        const auto target = targets_.find(order_[next_]);
        if (target == targets_.end())
            continue;
        start(target->second, PollKind::Load);
        start(target->second, PollKind::CacheEvents);
    }
}

void EndpointPoller::start(Target &target, PollKind kind)
{
    ports::EndpointRequest request;
    request.method = "GET";
    request.url = kind == PollKind::Load
        ? absl::StrCat("http://", target.endpoint.address, "/load")
        : absl::StrCat("http://", target.endpoint.address,
                       "/cache_events?after=", target.lastCacheEvent);
    request.connectTimeout = PollTimeout;
    request.totalTimeout = PollTimeout;
    const base::Outcome<CallToken> call = calls_.start(std::move(request), *this);
    if (call)
        polls_[*call] = Poll { target.endpoint.id, kind, 0, {} };
}

void EndpointPoller::onCallUpdate(CallToken call, const CallUpdate &update)
{
    const auto found = polls_.find(call);
    if (found == polls_.end())
        return;
    if (update.head)
        found->second.status = update.head->status;
    found->second.body += update.bytes;
    if (found->second.body.size() > MaxPollBytes) {
        polls_.erase(found);
        calls_.cancel(call);
        return;
    }
    if (!update.end)
        return;
    const Poll poll = std::move(found->second);
    polls_.erase(found);
    if (!update.end->complete || poll.status != StatusOk)
        return;
    if (poll.kind == PollKind::Load)
        handleLoad(poll);
    else
        handleCacheEvents(poll);
}

void EndpointPoller::handleLoad(const Poll &poll)
{
    const Json body = Json::parse(poll.body, nullptr, false);
    if (!body.is_object())
        return;
    serving::LoadReport report;
    report.running = numberAt<std::uint32_t>(body, "running");
    report.waiting = numberAt<std::uint32_t>(body, "waiting");
    report.prefillTokensWaiting = numberAt<std::uint64_t>(body, "prefill_tokens_waiting");
    report.kvPagesFree = numberAt<std::uint32_t>(body, "kv_pages_free");
    report.kvPages = numberAt<std::uint32_t>(body, "kv_pages");
    const base::Outcome<control::Role> role = control::roleFrom(stringAt(body, "role"));
    if (role)
        report.role = *role;
    report.sampledAt = clock_.now() - absl::Milliseconds(numberAt<std::uint32_t>(body, "age_ms"));
    table_.noteReport(poll.endpoint, report);
}

void EndpointPoller::handleCacheEvents(const Poll &poll)
{
    const Json body = Json::parse(poll.body, nullptr, false);
    const auto target = targets_.find(poll.endpoint);
    if (!body.is_object() || target == targets_.end())
        return;
    const auto list = body.find("events");
    if (list == body.end() || !list->is_array())
        return;
    std::vector<serving::CacheEvent> events;
    for (const Json &item : *list) {
        if (!item.is_object())
            continue;
        serving::CacheEvent event;
        event.sequence = numberAt<std::uint64_t>(item, "sequence");
        event.kind = stringAt(item, "kind") == "stored" ? serving::CacheEventKind::Stored
                                                        : serving::CacheEventKind::Evicted;
        event.prefix = serving::prefixFromName(stringAt(item, "prefix"));
        events.push_back(event);
    }
    target->second.lastCacheEvent
        = std::max(target->second.lastCacheEvent, numberAt<std::uint64_t>(body, "last"));
    table_.noteCacheEvents(poll.endpoint, events);
}

} // namespace zinniadoor::daemon
