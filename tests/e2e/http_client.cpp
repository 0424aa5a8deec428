#include "http_client.hpp"

#include <memory>

#include <curl/curl.h>

#include "absl/strings/ascii.h"
#include "absl/strings/str_split.h"

namespace zinniadoor::e2e {
namespace {

using EasyHandle = std::unique_ptr<CURL, decltype(&curl_easy_cleanup)>;
using HeaderList = std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)>;

/// State of one request that curl's callbacks write to.
struct Receiver
{
    HttpResponse response;
    std::function<bool(std::string_view)> onData;
};

std::size_t appendBody(char *data, std::size_t size, std::size_t count, void *context)
{
    auto &receiver = *static_cast<Receiver *>(context);
    const std::string_view bytes(data, size * count);
    receiver.response.body.append(bytes);
    if (receiver.onData && !receiver.onData(bytes))
        return 0;
    return bytes.size();
}

std::size_t storeHeader(char *data, std::size_t size, std::size_t count, void *context)
{
    auto &receiver = *static_cast<Receiver *>(context);
    const std::string line(data, size * count);
    const std::size_t colon = line.find(':');
    if (colon != std::string::npos) {
        const std::string name = absl::AsciiStrToLower(line.substr(0, colon));
        const std::string value = line.substr(colon + 1);
        receiver.response.headers[name] = std::string(absl::StripAsciiWhitespace(value));
    }
    return line.size();
}

HeaderList makeHeaders(const std::vector<std::string> &headers)
{
    curl_slist *list = curl_slist_append(nullptr, "Expect:");
    for (const std::string &header : headers)
        list = curl_slist_append(list, header.c_str());
    return { list, curl_slist_free_all };
}

void configure(CURL *handle, const HttpRequest &request, const HeaderList &headers,
               Receiver &receiver)
{
    curl_easy_setopt(handle, CURLOPT_URL, request.url.c_str());
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers.get());
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS,
                     static_cast<long>(absl::ToInt64Milliseconds(request.timeout)));
    if (!request.body.empty() || request.method == "POST" || request.method == "PUT") {
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(request.body.size()));
        curl_easy_setopt(handle, CURLOPT_POSTFIELDS, request.body.data());
    }
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, appendBody);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &receiver);
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, storeHeader);
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, &receiver);
}

void initialiseOnce()
{
    static const CURLcode done = curl_global_init(CURL_GLOBAL_DEFAULT);
    static_cast<void>(done);
}

} // namespace

HttpResponse call(const HttpRequest &request)
{
    return callStreamed(request, nullptr);
}

HttpResponse get(const std::string &url)
{
    HttpRequest request;
    request.url = url;
    return call(request);
}

HttpResponse post(const std::string &url, const std::string &body,
                  const std::vector<std::string> &headers)
{
    HttpRequest request;
    request.method = "POST";
    request.url = url;
    request.body = body;
    request.headers = headers;
    return call(request);
}

HttpResponse callStreamed(const HttpRequest &request,
                          const std::function<bool(std::string_view)> &onData)
{
    initialiseOnce();
    const EasyHandle handle(curl_easy_init(), curl_easy_cleanup);
    const HeaderList headers = makeHeaders(request.headers);
    Receiver receiver;
    receiver.onData = onData;
    configure(handle.get(), request, headers, receiver);
    const CURLcode code = curl_easy_perform(handle.get());
    long status = 0;
    curl_easy_getinfo(handle.get(), CURLINFO_RESPONSE_CODE, &status);
    receiver.response.status = static_cast<int>(status);
    receiver.response.complete = code == CURLE_OK;
    if (code != CURLE_OK)
        receiver.response.error = curl_easy_strerror(code);
    return receiver.response;
}

HttpResponse callAndDisconnect(const HttpRequest &request, std::size_t bytes)
{
    std::size_t got = 0;
    return callStreamed(request, [&got, bytes](std::string_view data) {
        got += data.size();
        return got < bytes;
    });
}

std::vector<std::string> sseData(const std::string &body)
{
    const std::string prefix = "data: ";
    std::vector<std::string> out;
    for (const auto &line : absl::StrSplit(body, '\n')) {
        const std::string text(line.data(), line.size());
        if (text.rfind(prefix, 0) == 0)
            out.push_back(text.substr(prefix.size()));
    }
    return out;
}

} // namespace zinniadoor::e2e
