#include "platform.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "absl/strings/escaping.h"
#include "absl/strings/string_view.h"

namespace zinniadoor::standins {
namespace {

constexpr std::int64_t DefaultReadLimit = 1000;
constexpr std::int64_t MaxReadLimit = 10000;
constexpr std::int64_t MaxReadWaitMs = 60000;
constexpr std::int64_t MsPerSecond = 1000;
constexpr std::size_t MaxStoredEntries = 100000;
const std::string WeightsPrefix = "/weights/";

Response malformed()
{
    return errorResponse(400, "invalid_argument", "malformed request");
}

Response rateLimited()
{
    Response response = errorResponse(429, "overloaded", "too many calls");
    response.headers.emplace_back("Retry-After", "1");
    return response;
}

template <typename T>
void appendBounded(std::deque<T> &list, T item)
{
    list.push_back(std::move(item));
    if (list.size() > MaxStoredEntries)
        list.pop_front();
}

} // namespace

Platform::Platform(const PlatformOptions &options)
    : options_(options)
    , log_(options.log)
{
    listVersions_.push_back({ 0, {} });
}

Response Platform::serve(const Call &call)
{
    const Request &request = call.request;
    const std::string route = request.method + " " + request.path;
    if (route == "POST /log/records")
        return appendRecord(request);
    if (route == "GET /log/records")
        return readRecords(request);
    if (route == "GET /instances")
        return listInstances();
    if (route == "POST /instances")
        return setInstances(request);
    if (route == "POST /endpoint_orders")
        return handleEndpointOrder(request);
    if (route == "POST /billing/reports")
        return handleBillingReport(request);
    if (route.rfind("GET " + WeightsPrefix, 0) == 0)
        return serveWeights(request);
    return errorResponse(404, "not_found", "no such call");
}

bool Platform::isRecorded(const Request &) const
{
    return false;
}

Response Platform::appendRecord(const Request &request)
{
    if (!log_.waitForAppendSlot())
        return rateLimited();
    const std::int64_t before = options_.appendDelayMs / 2;
    sleepMs(before);
    const std::uint64_t offset = log_.append(request.body);
    sleepMs(options_.appendDelayMs - before);
    return jsonResponse({ { "offset", offset } });
}

Response Platform::readRecords(const Request &request)
{
    const auto after = std::max<std::int64_t>(0, request.queryNumber("after", 0));
    const auto limit
        = std::clamp<std::int64_t>(request.queryNumber("limit", DefaultReadLimit), 1, MaxReadLimit);
    const auto waitMs
        = std::clamp<std::int64_t>(request.queryNumber("wait_ms", 0), 0, MaxReadWaitMs);
    const LogPage page
        = log_.readAfter(static_cast<std::uint64_t>(after), static_cast<std::size_t>(limit), waitMs,
                         [&request] { return request.clientDisconnected(); });
    nlohmann::json out { { "first", page.first }, { "last", page.last } };
    if (page.gone)
        return jsonResponse(out, 410);
    out["records"] = nlohmann::json::array();
    std::uint64_t offset = page.firstRecord;
    for (const std::string &record : page.records) {
        const std::string data
            = absl::Base64Escape(absl::string_view(record.data(), record.size()));
        out["records"].push_back({ { "offset", offset++ }, { "data", data } });
    }
    return jsonResponse(out);
}

Response Platform::listInstances()
{
    const std::lock_guard lock(mutex_);
    const std::int64_t visibleUntilMs = unixMs() - options_.listLagMs;
    while (listVersions_.size() > 1 && listVersions_[1].atMs <= visibleUntilMs)
        listVersions_.pop_front();
    nlohmann::json instances = nlohmann::json::array();
    for (const ListedInstance &instance : listVersions_.front().instances) {
        instances.push_back({ { "id", instance.id },
                              { "data_centre", instance.dataCentre },
                              { "state", instance.state } });
    }
    return jsonResponse({ { "instances", instances } });
}

Response Platform::setInstances(const Request &request)
{
    const auto body = nlohmann::json::parse(request.body, nullptr, false);
    if (!body.is_object() || !body.contains("instances"))
        return malformed();
    InstanceListVersion version;
    version.atMs = unixMs();
    for (const auto &instance : body["instances"]) {
        version.instances.push_back({ instance.at("id").get<std::string>(),
                                      instance.at("data_centre").get<std::string>(),
                                      instance.value("state", std::string("live")) });
    }
    const std::lock_guard lock(mutex_);
    listVersions_.push_back(std::move(version));
    return jsonResponse({ { "done", true } });
}

Response Platform::handleEndpointOrder(const Request &request)
{
    const auto body = nlohmann::json::parse(request.body, nullptr, false);
    if (!body.is_object())
        return malformed();
    EndpointOrder order;
    order.kind = body.value("kind", std::string());
    order.dataCentre = body.value("data_centre", std::string());
    order.endpoint = body.value("endpoint", std::string());
    order.fencing = body.value("fencing", std::uint64_t { 0 });
    order.atMs = unixMs();
    if (order.kind != "start" && order.kind != "stop")
        return malformed();
    const std::lock_guard lock(mutex_);
    std::uint64_t &highest = highestFencingNumber_[order.dataCentre];
    const bool stale = options_.enforceFencing && order.fencing < highest;
    highest = std::max(highest, order.fencing);
    order.outcome = stale ? 409 : 200;
    appendBounded(orders_, order);
    if (stale)
        return errorResponse(409, "conflict", "old fencing number");
    return jsonResponse({ { "done", true } });
}

Response Platform::handleBillingReport(const Request &request)
{
    const auto body = nlohmann::json::parse(request.body, nullptr, false);
    if (!body.is_object())
        return malformed();
    BillingReport report;
    report.organisation = body.at("organisation").get<std::string>();
    report.window = body.at("window").get<std::int64_t>();
    report.totals.requests = body.at("requests").get<std::uint64_t>();
    report.totals.promptTokens = body.at("prompt_tokens").get<std::uint64_t>();
    report.totals.outputTokens = body.at("output_tokens").get<std::uint64_t>();
    report.fencing = body.value("fencing", std::uint64_t { 0 });
    report.atMs = unixMs();
    const std::lock_guard lock(mutex_);
    const auto [entry, isNew]
        = billedUsage_.try_emplace({ report.organisation, report.window }, report.totals);
    const bool same = isNew || entry->second == report.totals;
    report.outcome = same ? 200 : 409;
    appendBounded(reports_, report);
    if (!same)
        return errorResponse(409, "conflict", "the window was reported with other figures");
    return jsonResponse({ { "done", true } });
}

Response Platform::serveWeights(const Request &request)
{
    if (options_.weightsPerSecond > 0) {
        const std::lock_guard lock(mutex_);
        const std::int64_t now = unixMs();
        if (now < nextWeightsMs_)
            return rateLimited();
        nextWeightsMs_ = now + MsPerSecond / options_.weightsPerSecond;
    }
    const std::string model = request.path.substr(WeightsPrefix.size());
    Response response;
    response.contentType = "application/octet-stream";
    while (response.body.size() < static_cast<std::size_t>(options_.weightBytes))
        response.body += model + "\n";
    response.body.resize(static_cast<std::size_t>(options_.weightBytes));
    return response;
}

nlohmann::json Platform::received(const Request &)
{
    const std::lock_guard lock(mutex_);
    nlohmann::json orders = nlohmann::json::array();
    for (const EndpointOrder &order : orders_) {
        orders.push_back({ { "kind", order.kind },
                           { "data_centre", order.dataCentre },
                           { "endpoint", order.endpoint },
                           { "fencing", order.fencing },
                           { "at_ms", order.atMs },
                           { "outcome", order.outcome } });
    }
    nlohmann::json reports = nlohmann::json::array();
    for (const BillingReport &report : reports_) {
        reports.push_back({ { "organisation", report.organisation },
                            { "window", report.window },
                            { "requests", report.totals.requests },
                            { "prompt_tokens", report.totals.promptTokens },
                            { "output_tokens", report.totals.outputTokens },
                            { "fencing", report.fencing },
                            { "at_ms", report.atMs },
                            { "outcome", report.outcome } });
    }
    return { { "appends", log_.appends() },
             { "endpoint_orders", orders },
             { "billing_reports", reports },
             { "counts", calls_.countsToJson() },
             { "faults", faults_.toJson() } };
}

} // namespace zinniadoor::standins
