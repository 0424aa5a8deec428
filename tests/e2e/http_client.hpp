#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"

namespace zinniadoor::e2e {

struct HttpRequest
{
    std::string method = "GET";
    std::string url;
    std::vector<std::string> headers; ///< "Name: value"
    std::string body;
    absl::Duration timeout = absl::Seconds(30);
};

struct HttpResponse
{
    int status = 0; ///< 0 without a response.
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;
    bool complete = false; ///< Received to its end as framed by HTTP.
    std::string error; ///< Reason if it is not complete.
};

/// Sends a request on a new connection and waits for the end of the response.
HttpResponse call(const HttpRequest &request);
HttpResponse get(const std::string &url);
HttpResponse post(const std::string &url, const std::string &body,
                  const std::vector<std::string> &headers = {});

/// As `call`, and passes each piece of the body to `onData` as it arrives; `onData` returns false
/// to close the connection.
HttpResponse callStreamed(const HttpRequest &request,
                          const std::function<bool(std::string_view)> &onData);

/// As `call`, but closes the connection after receiving `bytes` of the body.
HttpResponse callAndDisconnect(const HttpRequest &request, std::size_t bytes);

/// Payloads of the `data:` lines of an SSE body.
std::vector<std::string> sseData(const std::string &body);

} // namespace zinniadoor::e2e
