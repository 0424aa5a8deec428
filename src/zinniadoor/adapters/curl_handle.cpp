#include "curl_handle.hpp"

#include <string_view>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

namespace zinniadoor::adapters::detail {

namespace {

int onPreRequest(void *cls, char *, char *, int, int)
{
    auto *attempt = static_cast<Attempt *>(cls);
    if (attempt->started)
        return CURL_PREREQFUNC_ABORT;
    if (attempt->onConnected)
        attempt->onConnected();
    attempt->started = true;
    return CURL_PREREQFUNC_OK;
}

std::size_t onHeadLine(char *data, std::size_t, std::size_t size, void *cls)
{
    const std::string_view line(data, size);
    if (line == "\r\n" || line == "\n")
        *static_cast<bool *>(cls) = true;
    else if (absl::StartsWith(absl::string_view(data, size),
                              "HTTP/")) // The one before was interim.
        *static_cast<bool *>(cls) = false;
    return size;
}

bool isConnectionHeader(const std::string &name)
{
    for (const char *connectionHeader :
         { "Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "Expect", "TE",
           "Trailer", "Upgrade", "Proxy-Connection" }) {
        if (absl::EqualsIgnoreCase(name, connectionHeader))
            return true;
    }
    return false;
}

bool hasLineBreakOrNul(const std::string &text)
{
    return text.find_first_of(std::string("\r\n\0", 3)) != std::string::npos;
}

void append(CurlHeaders &list, const std::string &line)
{
    curl_slist *extended = curl_slist_append(list.get(), line.c_str());
    static_cast<void>(list.release());
    list.reset(extended);
}

} // namespace

void initializeCurl()
{
    static const CURLcode result = curl_global_init(CURL_GLOBAL_DEFAULT);
    static_cast<void>(result);
}

CurlHandle createHttpHandle()
{
    initializeCurl();
    CurlHandle easy(curl_easy_init());
    curl_easy_setopt(easy.get(), CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy.get(), CURLOPT_FOLLOWLOCATION, 0L);
    curl_easy_setopt(easy.get(), CURLOPT_PROXY, "");
    curl_easy_setopt(easy.get(), CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy.get(), CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(easy.get(), CURLOPT_TCP_KEEPALIVE, 1L);
    curl_easy_setopt(easy.get(), CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy.get(), CURLOPT_PATH_AS_IS, 1L);
    return easy;
}

// libcurl silently retries a request if its pooled connection turns out to be closed, even when
// the server may have read it. The pre-request callback runs before each attempt and aborts the
// second one.
void forbidRetry(CURL *easy, Attempt *attempt)
{
    attempt->started = false;
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &onPreRequest);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, attempt);
}

void watchHead(CURL *easy, bool *complete)
{
    *complete = false;
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &onHeadLine);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, complete);
}

void setRequest(CURL *easy, const std::string &method, const std::string &body)
{
    const bool bodyExpected = method == "POST" || method == "PUT" || method == "PATCH";
    if (bodyExpected || !body.empty()) {
        curl_easy_setopt(easy, CURLOPT_POST, 1L);
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body.c_str());
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(body.size()));
    } else if (method == "HEAD") {
        curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
    } else {
        curl_easy_setopt(easy, CURLOPT_HTTPGET, 1L);
    }
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, method.c_str());
}

CurlHeaders headerList(const std::vector<ports::HttpHeader> &headers)
{
    CurlHeaders list;
    append(list, "Expect:");
    bool hasContentType = false;
    for (const ports::HttpHeader &header : headers) {
        if (isConnectionHeader(header.name))
            continue;
        hasContentType = hasContentType || absl::EqualsIgnoreCase(header.name, "Content-Type");
        const char *separator = header.value.empty() ? ";" : ": ";
        append(list, absl::StrCat(header.name, separator, header.value));
    }
    if (!hasContentType)
        append(list, "Content-Type:"); // libcurl's default is a form's content type.
    return list;
}

bool validHeaders(const std::vector<ports::HttpHeader> &headers)
{
    for (const ports::HttpHeader &header : headers) {
        const bool badName = header.name.empty()
            || header.name.find_first_of(":; \t") != std::string::npos
            || hasLineBreakOrNul(header.name);
        if (badName || hasLineBreakOrNul(header.value))
            return false;
    }
    return true;
}

} // namespace zinniadoor::adapters::detail
