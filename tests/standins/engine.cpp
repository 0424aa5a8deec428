#include "engine.hpp"

#include <nlohmann/json.hpp>

#include "absl/strings/numbers.h"

namespace zinniadoor::standins {
namespace {

constexpr std::size_t MaxStoredPrompts = 1000;
const std::string KvMagic = "ZKV1\n";

bool isRole(const std::string &role)
{
    return role == "prefill" || role == "decode" || role == "mixed";
}

std::int64_t pagesFor(std::int64_t tokens, std::int64_t pageTokens)
{
    return (tokens + pageTokens - 1) / pageTokens;
}

} // namespace

Engine::Engine(EngineOptions options)
    : options_(std::move(options))
    , pages_(options_.pages)
    , scheduler_(options_.scheduler, pages_)
    , models_(options_.models)
{ }

Response Engine::serve(const Call &call)
{
    const Request &request = call.request;
    const std::string route = request.method + " " + request.path;
    if (route == "POST /v1/chat/completions")
        return complete(call, true);
    if (route == "POST /v1/completions")
        return complete(call, false);
    if (route == "GET /load")
        return reportLoad();
    if (route == "GET /cache_events") {
        const auto after = static_cast<std::uint64_t>(request.queryNumber("after", 0));
        return jsonResponse(pages_.eventsAfter(after));
    }
    if (route == "POST /orders")
        return handleOrder(call);
    if (route == "POST /cancel")
        return cancel(call);
    if (route == "GET /kv")
        return exportKv(call);
    if (route == "PUT /kv")
        return importKv(call);
    if (route == "GET /health")
        return jsonResponse({ { "id", options_.id } });
    return errorResponse(404, "not_found", "no such call");
}

bool Engine::isRecorded(const Request &request) const
{
    return request.path != "/load" && request.path != "/cache_events" && request.path != "/health";
}

nlohmann::json Engine::received(const Request &request)
{
    const std::lock_guard lock(mutex_);
    return { { "id", options_.id },
             { "calls", calls_.callsToJson(request.queryValue("path")) },
             { "counts", calls_.countsToJson() },
             { "faults", faults_.toJson() },
             { "role", scheduler_.role() },
             { "ran", startedStreams_ } };
}

Response Engine::complete(const Call &call, bool chat)
{
    const std::optional<Prompt> prompt = parsePrompt(call.request.body, chat);
    if (!prompt)
        return errorResponse(400, "invalid_argument", "malformed request");
    if (!prompt->stream)
        return errorResponse(400, "invalid_argument", "stream must be true");
    if (!options_.crashMarker.empty()
        && prompt->text.find(options_.crashMarker) != std::string::npos)
        crash();
    if (!servesModel(prompt->model))
        return errorResponse(404, "not_found", "no such model");
    std::int64_t firstOffset = 0;
    const std::string resume = call.request.header("Zinniadoor-Resume-Offset");
    if (!resume.empty() && (!absl::SimpleAtoi(resume, &firstOffset) || firstOffset < 0))
        return errorResponse(400, "invalid_argument", "bad resume offset");
    if (firstOffset > prompt->maxTokens)
        return errorResponse(400, "invalid_argument", "resume offset beyond the answer");
    return startStream(call, *prompt, firstOffset);
}

Response Engine::startStream(const Call &call, const Prompt &prompt, std::int64_t firstOffset)
{
    const std::vector<std::string> words = splitWords(prompt.text);
    const auto promptTokens = static_cast<std::int64_t>(words.size());
    EngineStream::Options stream { call.request.header("Zinniadoor-Request"),
                                   prompt,
                                   promptTokens,
                                   firstOffset,
                                   call.fault,
                                   call.request,
                                   call.number };
    stream.request.body.clear();
    const std::lock_guard lock(mutex_);
    if (roleChangesRunning_ > 0) {
        Response refused = errorResponse(503, "unavailable", "changing role");
        refused.headers.emplace_back("Retry-After", "1");
        return refused;
    }
    ++startedStreams_;
    const std::int64_t cachedPages = pages_.lookUpAndStore(pageNames(words, options_.pageTokens));
    Job job;
    job.deferable = call.request.header("Zinniadoor-Priority") == "deferable";
    job.pages = pagesFor(promptTokens + prompt.maxTokens, options_.pageTokens);
    if (!hasImported(stream.requestId, prompt.text))
        job.prefillTokens = promptTokens + firstOffset - cachedPages * options_.pageTokens;
    storePrompt(prompts_, stream.requestId, prompt.text);
    const std::string id = stream.requestId;
    auto body = std::make_shared<EngineStream>(std::move(stream), job, scheduler_, calls_, faults_);
    for (auto it = streams_.begin(); it != streams_.end();)
        it = it->second.expired() ? streams_.erase(it) : std::next(it);
    streams_.emplace(id, body);
    Response response;
    response.contentType = "text/event-stream";
    response.stream = body;
    return response;
}

Response Engine::reportLoad()
{
    const LoadReport report = scheduler_.report();
    return jsonResponse({ { "running", report.running },
                          { "waiting", report.waiting },
                          { "prefill_tokens_waiting", report.prefillTokensWaiting },
                          { "kv_pages_free", report.kvPagesFree },
                          { "kv_pages", options_.pages.pages },
                          { "role", report.role },
                          { "age_ms", report.ageMs } });
}

Response Engine::handleOrder(const Call &call)
{
    const auto body = nlohmann::json::parse(call.request.body, nullptr, false);
    if (!body.is_object())
        return errorResponse(400, "invalid_argument", "malformed order");
    const std::string kind = body.value("kind", std::string());
    const std::string argument = body.value("argument", std::string());
    if (kind != "load_model" && !(kind == "role" && isRole(argument)))
        return errorResponse(400, "invalid_argument", "unknown order");
    ReceivedOrder order = startOrder(call, body);
    if (order.outcome == "refused")
        return errorResponse(409, "conflict", "old fencing number");
    executeOrder(order);
    finishOrder(call, order);
    return jsonResponse({ { "done", true } });
}

ReceivedOrder Engine::startOrder(const Call &call, const nlohmann::json &body)
{
    const std::lock_guard lock(mutex_);
    ReceivedOrder order;
    order.kind = body.value("kind", std::string());
    order.argument = body.value("argument", std::string());
    order.fencing = body.value("fencing", std::uint64_t { 0 });
    order.slot = body.value("slot", std::uint64_t { 0 });
    order.overlapped = ordersRunning_ > 0;
    order.openStreams = scheduler_.activeJobs();
    if (options_.enforceFencing && order.fencing < highestFencingNumber_) {
        order.outcome = "refused";
    } else {
        highestFencingNumber_ = std::max(highestFencingNumber_, order.fencing);
        ++ordersRunning_;
        roleChangesRunning_ += order.kind == "role" ? 1 : 0;
    }
    calls_.setOrder(call.number, order);
    return order;
}

/// Blocks for the duration of the change. Open streams continue unless `cutStreamsOnRoleChange`.
void Engine::executeOrder(const ReceivedOrder &order)
{
    if (order.kind == "role" && options_.cutStreamsOnRoleChange) {
        const std::lock_guard lock(mutex_);
        for (auto &[id, stream] : streams_) {
            if (const auto open = stream.lock())
                open->stop("cut");
        }
    }
    sleepMs(options_.roleChangeMs);
}

void Engine::finishOrder(const Call &call, ReceivedOrder &order)
{
    const std::lock_guard lock(mutex_);
    order.outcome = "done";
    --ordersRunning_;
    if (order.kind == "role") {
        --roleChangesRunning_;
        scheduler_.setRole(order.argument);
    } else if (!models_.empty()) {
        models_.insert(order.argument);
    }
    calls_.setOrder(call.number, order);
}

Response Engine::cancel(const Call &call)
{
    const auto body = nlohmann::json::parse(call.request.body, nullptr, false);
    if (!body.is_object())
        return errorResponse(400, "invalid_argument", "malformed request");
    const std::lock_guard lock(mutex_);
    std::int64_t stopped = 0;
    const auto [begin, end] = streams_.equal_range(body.value("request", std::string()));
    for (auto it = begin; it != end; ++it) {
        if (const auto open = it->second.lock()) {
            open->stop("cancelled");
            ++stopped;
        }
    }
    return jsonResponse({ { "cancelled", stopped } });
}

Response Engine::exportKv(const Call &call)
{
    const std::string id = call.request.queryValue("request");
    const std::lock_guard lock(mutex_);
    for (const auto &[storedId, prompt] : prompts_) {
        if (storedId != id)
            continue;
        Response response;
        response.contentType = "application/octet-stream";
        response.body = KvMagic + prompt;
        return response;
    }
    return errorResponse(404, "not_found", "no such request");
}

Response Engine::importKv(const Call &call)
{
    if (call.request.body.rfind(KvMagic, 0) != 0)
        return errorResponse(400, "invalid_argument", "not a KV cache");
    const std::lock_guard lock(mutex_);
    storePrompt(imported_, call.request.queryValue("request"),
                call.request.body.substr(KvMagic.size()));
    return jsonResponse({ { "done", true } });
}

bool Engine::servesModel(const std::string &model)
{
    const std::lock_guard lock(mutex_);
    return models_.empty() || models_.count(model) > 0;
}

void Engine::storePrompt(std::deque<std::pair<std::string, std::string>> &list,
                         const std::string &id, const std::string &prompt)
{
    list.emplace_front(id, prompt);
    if (list.size() > MaxStoredPrompts)
        list.pop_back();
}

bool Engine::hasImported(const std::string &id, const std::string &prompt)
{
    for (const auto &[storedId, text] : imported_) {
        if (storedId == id)
            return text == prompt;
    }
    return false;
}

} // namespace zinniadoor::standins
