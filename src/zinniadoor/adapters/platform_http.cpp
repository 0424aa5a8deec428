#include "zinniadoor/adapters/platform_http.hpp"

#include <nlohmann/json.hpp>

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"

#include "platform_call.hpp"

namespace zinniadoor::adapters {

namespace {

using Json = nlohmann::json;

constexpr int StatusOk = 200;
constexpr int StatusGone = 410;

base::Reason malformed(base::ReasonCode code)
{
    return { code, "malformed response from the platform" };
}

base::Offset unsignedOf(const Json &object, const char *key)
{
    const auto &value = object.at(key);
    if (!value.is_number_unsigned())
        throw std::invalid_argument(key);
    return value.get<base::Offset>();
}

class HttpLog : public ports::Log
{
public:
    explicit HttpLog(const PlatformOptions &options)
        : caller_(options)
    { }

    base::Outcome<base::Offset> append(const std::string &data) override
    {
        const auto response
            = caller_.call({ "POST", "/log/records", "application/octet-stream", data });
        if (!response)
            return response.lastReason();
        if (response->status != StatusOk)
            return detail::rejectionReason(*response);
        try {
            return unsignedOf(Json::parse(response->body), "offset");
        } catch (const std::exception &) {
            return malformed(base::ReasonCode::OutcomeUnknown);
        }
    }

    base::Outcome<ports::LogPage> readAfter(base::Offset offset, std::size_t limit,
                                            absl::Duration wait) override
    {
        const std::string path = absl::StrCat("/log/records?after=", offset, "&limit=", limit,
                                              "&wait_ms=", absl::ToInt64Milliseconds(wait));
        const auto response = caller_.call({ "GET", path, "", "", wait });
        if (!response)
            return detail::reasonForRead(response.lastReason());
        if (response->status == StatusGone)
            return base::Reason { base::ReasonCode::Gone, "records were removed by retention" };
        if (response->status != StatusOk)
            return detail::reasonForRead(detail::rejectionReason(*response));
        try {
            return parsePage(Json::parse(response->body), offset);
        } catch (const std::exception &) {
            return malformed(base::ReasonCode::Unavailable);
        }
    }

private:
    // A page with missing or reordered records must not be applied.
    static ports::LogPage parsePage(const Json &body, base::Offset after)
    {
        ports::LogPage page;
        page.firstOffset = unsignedOf(body, "first");
        page.lastOffset = unsignedOf(body, "last");
        base::Offset expected = after;
        for (const Json &record : body.at("records")) {
            ports::LogEntry entry;
            entry.offset = unsignedOf(record, "offset");
            if (entry.offset != ++expected)
                throw std::invalid_argument("offset");
            const std::string text = record.at("data").get<std::string>();
            if (!absl::Base64Unescape(text, &entry.data))
                throw std::invalid_argument("data");
            page.entries.push_back(std::move(entry));
        }
        return page;
    }

    detail::PlatformCaller caller_;
};

ports::InstanceState stateOf(const std::string &name)
{
    if (name == "live")
        return ports::InstanceState::Live;
    if (name == "leaving")
        return ports::InstanceState::Leaving;
    throw std::invalid_argument("state");
}

class HttpInstanceList : public ports::InstanceList
{
public:
    explicit HttpInstanceList(const PlatformOptions &options)
        : caller_(options)
    { }

    base::Outcome<std::vector<ports::ListedInstance>> list() override
    {
        const auto response = caller_.call({ "GET", "/instances", "", "" });
        if (!response)
            return detail::reasonForRead(response.lastReason());
        if (response->status != StatusOk)
            return detail::reasonForRead(detail::rejectionReason(*response));
        try {
            return parseList(Json::parse(response->body));
        } catch (const std::exception &) {
            return malformed(base::ReasonCode::Unavailable);
        }
    }

private:
    static std::vector<ports::ListedInstance> parseList(const Json &body)
    {
        std::vector<ports::ListedInstance> list;
        for (const Json &row : body.at("instances")) {
            ports::ListedInstance instance;
            instance.id = row.at("id").get<std::string>();
            instance.dataCentre = base::DataCentreId(row.at("data_centre").get<std::string>());
            instance.state = stateOf(row.at("state").get<std::string>());
            list.push_back(std::move(instance));
        }
        return list;
    }

    detail::PlatformCaller caller_;
};

/// POST request with a JSON body. Invalid UTF-8 is replaced.
detail::PlatformRequest jsonPost(const std::string &path, const Json &body)
{
    const std::string text = body.dump(-1, ' ', false, Json::error_handler_t::replace);
    return { "POST", path, "application/json", text };
}

base::Status statusOf(const base::Outcome<detail::PlatformResponse> &response)
{
    if (!response)
        return response.lastReason();
    if (response->status != StatusOk)
        return detail::rejectionReason(*response);
    return base::Done {};
}

class HttpBilling : public ports::Billing
{
public:
    HttpBilling(const PlatformOptions &options, LeaseGuard *guard)
        : caller_(options, guard)
    { }

    base::Status report(const ports::UsageReport &report) override
    {
        const Json body = {
            { "organisation", report.organisation.str() },
            { "window", report.window },
            { "requests", report.requests },
            { "prompt_tokens", report.promptTokens },
            { "output_tokens", report.outputTokens },
            { "fencing", report.fencing },
        };
        return statusOf(caller_.call(jsonPost("/billing/reports", body)));
    }

private:
    detail::PlatformCaller caller_;
};

class HttpEndpointOrders : public ports::EndpointOrders
{
public:
    HttpEndpointOrders(const PlatformOptions &options, LeaseGuard *guard)
        : caller_(options, guard)
    { }

    base::Status send(const ports::EndpointOrder &order) override
    {
        const bool toPlatform = order.kind == ports::EndpointOrderKind::Start
            || order.kind == ports::EndpointOrderKind::Stop;
        return statusOf(toPlatform ? sendToPlatform(order) : sendToEngine(order));
    }

private:
    base::Outcome<detail::PlatformResponse> sendToPlatform(const ports::EndpointOrder &order)
    {
        const Json body = {
            { "kind", nameOf(order.kind) },
            { "data_centre", order.dataCentre.str() },
            { "endpoint", order.endpoint.str() },
            { "fencing", order.fencing },
        };
        return caller_.call(jsonPost("/endpoint_orders", body));
    }

    base::Outcome<detail::PlatformResponse> sendToEngine(const ports::EndpointOrder &order)
    {
        const Json body = {
            { "kind", nameOf(order.kind) },
            { "argument", order.argument },
            { "fencing", order.fencing },
            { "slot", order.slot },
        };
        return caller_.callAt("http://" + order.address, jsonPost("/orders", body));
    }

    detail::PlatformCaller caller_;
};

} // namespace

std::unique_ptr<ports::Log> httpLog(const PlatformOptions &options)
{
    return std::make_unique<HttpLog>(options);
}

std::unique_ptr<ports::InstanceList> httpInstanceList(const PlatformOptions &options)
{
    return std::make_unique<HttpInstanceList>(options);
}

std::unique_ptr<ports::Billing> httpBilling(const PlatformOptions &options, LeaseGuard *guard)
{
    return std::make_unique<HttpBilling>(options, guard);
}

std::unique_ptr<ports::EndpointOrders> httpEndpointOrders(const PlatformOptions &options,
                                                          LeaseGuard *guard)
{
    return std::make_unique<HttpEndpointOrders>(options, guard);
}

} // namespace zinniadoor::adapters
