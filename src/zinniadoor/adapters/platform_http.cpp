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
    return { code, "the platform's answer is malformed" };
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
        const auto answer
            = caller_.call({ "POST", "/log/records", "application/octet-stream", data, {} });
        if (!answer)
            return answer.lastReason();
        if (answer->status != StatusOk)
            return detail::refusalReason(*answer);
        try {
            return unsignedOf(Json::parse(answer->body), "offset");
        } catch (const std::exception &) {
            return malformed(base::ReasonCode::OutcomeUnknown);
        }
    }

    base::Outcome<ports::LogPage> readAfter(base::Offset offset, std::size_t limit,
                                            absl::Duration wait) override
    {
        const std::string path = absl::StrCat("/log/records?after=", offset, "&limit=", limit,
                                              "&wait_ms=", absl::ToInt64Milliseconds(wait));
        const auto answer = caller_.call({ "GET", path, "", "", wait });
        if (!answer)
            return detail::readReason(answer.lastReason());
        if (answer->status == StatusGone)
            return base::Reason { base::ReasonCode::Gone, "records were dropped by retention" };
        if (answer->status != StatusOk)
            return detail::readReason(detail::refusalReason(*answer));
        try {
            return parsePage(Json::parse(answer->body), offset);
        } catch (const std::exception &) {
            return malformed(base::ReasonCode::Unavailable);
        }
    }

private:
    // A page with a hole or out of order must not be applied, whoever made it.
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

} // namespace

std::unique_ptr<ports::Log> httpLog(const PlatformOptions &options)
{
    return std::make_unique<HttpLog>(options);
}

} // namespace zinniadoor::adapters
