#include "platform_call.hpp"

#include <sys/socket.h>
#include <unistd.h>

#include "absl/strings/str_cat.h"

#include "zinniadoor/adapters/sizes.hpp"

namespace zinniadoor::adapters::detail {

namespace {

constexpr int StatusConflict = 409;
constexpr int StatusTooManyRequests = 429;
constexpr int StatusServerError = 500;
constexpr int StatusUnavailable = 503;
constexpr std::size_t MaxResponseBytes = 64 * MebiByte;

std::size_t appendBody(char *data, std::size_t, std::size_t size, void *cls)
{
    auto *body = static_cast<std::string *>(cls);
    if (body->size() + size > MaxResponseBytes)
        return 0;
    body->append(data, size);
    return size;
}

curl_socket_t openGuardedSocket(void *cls, curlsocktype, curl_sockaddr *address)
{
    auto *guard = static_cast<LeaseGuard *>(cls);
    const int opened = socket(address->family, address->socktype | SOCK_CLOEXEC, address->protocol);
    if (opened < 0)
        return CURL_SOCKET_BAD;
    if (guard->protect(opened))
        return opened;
    close(opened);
    return CURL_SOCKET_BAD;
}

int closeGuardedSocket(void *cls, curl_socket_t socket)
{
    static_cast<LeaseGuard *>(cls)->release();
    return close(socket);
}

} // namespace

PlatformCaller::PlatformCaller(const PlatformOptions &options, LeaseGuard *guard)
    : options_(options)
    , guard_(guard)
    , easy_(createHttpHandle())
{
    if (guard_ != nullptr)
        installGuard();
}

void PlatformCaller::installGuard()
{
    CURL *easy = easy_.get();
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
    curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, &openGuardedSocket);
    curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, guard_);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, &closeGuardedSocket);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, guard_);
}

base::Outcome<PlatformResponse> PlatformCaller::call(const PlatformRequest &request)
{
    return callAt(options_.baseUrl, request);
}

base::Outcome<PlatformResponse> PlatformCaller::callAt(const std::string &baseUrl,
                                                       const PlatformRequest &request)
{
    if (guard_ != nullptr && guard_->expired())
        return base::Reason { base::ReasonCode::Unavailable, "the lease has expired" };
    CURL *easy = easy_.get();
    const std::string url = absl::StrCat(baseUrl, request.path);
    const absl::Duration total = options_.timeout + request.extraTime;
    std::vector<ports::HttpHeader> headers;
    if (!request.contentType.empty())
        headers.push_back({ "Content-Type", request.contentType });
    const CurlHeaders list = headerList(headers);
    PlatformResponse response;
    Attempt attempt;
    attempt.onConnected = options_.onConnected;
    curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    setRequest(easy, request.method, request.body);
    forbidRetry(easy, &attempt);
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, list.get());
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                     static_cast<long>(absl::ToInt64Milliseconds(options_.timeout)));
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(absl::ToInt64Milliseconds(total)));
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &appendBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &response.body);
    bool headComplete = false;
    watchHead(easy, &headComplete);
    const CURLcode result = curl_easy_perform(easy);
    if (result != CURLE_OK)
        return base::Reason { attempt.started ? base::ReasonCode::OutcomeUnknown
                                              : base::ReasonCode::Unavailable,
                              absl::StrCat(request.path, ": ", curl_easy_strerror(result)) };
    if (!headComplete)
        return base::Reason { base::ReasonCode::OutcomeUnknown,
                              absl::StrCat(request.path, ": ", CutHeadText) };
    long status = 0;
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    response.status = static_cast<int>(status);
    return response;
}

base::Reason rejectionReason(const PlatformResponse &response)
{
    const std::string text = absl::StrCat("the platform responded with status ", response.status);
    if (response.status == StatusUnavailable || response.status == StatusTooManyRequests)
        return { base::ReasonCode::Unavailable, text };
    if (response.status == StatusConflict)
        return { base::ReasonCode::Conflict, text };
    if (response.status >= 400 && response.status < StatusServerError)
        return { base::ReasonCode::InvalidArgument, text };
    return { base::ReasonCode::OutcomeUnknown, text };
}

base::Reason reasonForRead(const base::Reason &reason)
{
    if (reason.code != base::ReasonCode::OutcomeUnknown)
        return reason;
    return { base::ReasonCode::Unavailable, reason.text };
}

} // namespace zinniadoor::adapters::detail
