#include "zinniadoor/ctl/admin_client.hpp"

#include <memory>

#include <curl/curl.h>

#include "absl/strings/str_cat.h"

namespace zinniadoor::ctl {

namespace {

constexpr long TimeoutMilliseconds = 5000;
constexpr std::size_t MaxBodyBytes = 64'000'000;
constexpr long StatusOk = 200;

std::size_t appendToBody(char *bytes, std::size_t size, std::size_t count, void *to)
{
    auto *body = static_cast<std::string *>(to);
    if (body->size() + size * count > MaxBodyBytes)
        return 0;
    body->append(bytes, size * count);
    return size * count;
}

std::string joinUrl(const std::string &url, const std::string &path)
{
    const bool slash = !url.empty() && url.back() == '/';
    return absl::StrCat(slash ? url.substr(0, url.size() - 1) : url, path);
}

} // namespace

base::Outcome<std::string> getAdmin(const std::string &url, const std::string &path)
{
    const std::unique_ptr<CURL, void (*)(CURL *)> easy(curl_easy_init(), curl_easy_cleanup);
    if (!easy)
        return base::Reason { base::ReasonCode::Internal, "cannot initialise the HTTP client" };
    const std::string requestUrl = joinUrl(url, path);
    std::string body;
    curl_easy_setopt(easy.get(), CURLOPT_URL, requestUrl.c_str());
    curl_easy_setopt(easy.get(), CURLOPT_PROXY, "");
    curl_easy_setopt(easy.get(), CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy.get(), CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy.get(), CURLOPT_TIMEOUT_MS, TimeoutMilliseconds);
    curl_easy_setopt(easy.get(), CURLOPT_WRITEFUNCTION, appendToBody);
    curl_easy_setopt(easy.get(), CURLOPT_WRITEDATA, &body);
    const CURLcode code = curl_easy_perform(easy.get());
    if (code != CURLE_OK)
        return base::Reason { base::ReasonCode::Unavailable,
                              absl::StrCat(requestUrl, ": ", curl_easy_strerror(code)) };
    long status = 0;
    curl_easy_getinfo(easy.get(), CURLINFO_RESPONSE_CODE, &status);
    if (status != StatusOk)
        return base::Reason { base::ReasonCode::Unavailable,
                              absl::StrCat(requestUrl, ": HTTP status ", status) };
    return body;
}

} // namespace zinniadoor::ctl
