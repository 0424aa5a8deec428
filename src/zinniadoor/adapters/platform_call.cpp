#include "platform_call.hpp"

#include "absl/strings/str_cat.h"

#include "zinniadoor/adapters/sizes.hpp"

namespace zinniadoor::adapters::detail {

namespace {

constexpr std::size_t MaxAnswerBytes = 64 * MebiByte;

std::size_t collect(char *data, std::size_t, std::size_t size, void *cls)
{
    auto *body = static_cast<std::string *>(cls);
    if (body->size() + size > MaxAnswerBytes)
        return 0;
    body->append(data, size);
    return size;
}

} // namespace

PlatformCaller::PlatformCaller(const PlatformOptions &options)
    : options_(options)
    , easy_(newHttpHandle())
{ }

base::Outcome<PlatformAnswer> PlatformCaller::call(const PlatformRequest &request)
{
    CURL *easy = easy_.get();
    const std::string url = absl::StrCat(options_.baseUrl, request.path);
    const absl::Duration total = options_.timeout + request.extraTime;
    std::vector<ports::HttpHeader> headers;
    if (!request.contentType.empty())
        headers.push_back({ "Content-Type", request.contentType });
    const CurlHeaders list = headerList(headers);
    PlatformAnswer answer;
    bool attempted = false;
    curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    setRequest(easy, request.method, request.body);
    forbidSecondAttempt(easy, &attempted);
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, list.get());
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                     static_cast<long>(absl::ToInt64Milliseconds(options_.timeout)));
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(absl::ToInt64Milliseconds(total)));
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &collect);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &answer.body);
    const CURLcode result = curl_easy_perform(easy);
    if (result != CURLE_OK)
        return base::Reason { attempted ? base::ReasonCode::OutcomeUnknown
                                        : base::ReasonCode::Unavailable,
                              absl::StrCat(request.path, ": ", curl_easy_strerror(result)) };
    long status = 0;
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    answer.status = static_cast<int>(status);
    return answer;
}

base::Reason refusalReason(const PlatformAnswer &answer)
{
    const std::string text = absl::StrCat("the platform answered ", answer.status);
    if (answer.status == 503 || answer.status == 429)
        return { base::ReasonCode::Unavailable, text };
    if (answer.status == 409)
        return { base::ReasonCode::Conflict, text };
    if (answer.status >= 400 && answer.status < 500)
        return { base::ReasonCode::InvalidArgument, text };
    return { base::ReasonCode::OutcomeUnknown, text };
}

base::Reason readReason(const base::Reason &reason)
{
    if (reason.code != base::ReasonCode::OutcomeUnknown)
        return reason;
    return { base::ReasonCode::Unavailable, reason.text };
}

} // namespace zinniadoor::adapters::detail
