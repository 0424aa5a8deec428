#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"

namespace zinniadoor::e2e {

struct HttpCall
{
    std::string method = "GET";
    std::string url;
    std::vector<std::string> headers; ///< "Name: value"
    std::string body;
    absl::Duration timeout = absl::Seconds(30);
};

struct HttpAnswer
{
    int status = 0; ///< 0: no answer.
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;
    bool complete = false; ///< The whole answer arrived as framed by HTTP.
    std::string error; ///< Why it is not complete.
};

/// Makes a call on a connection of its own and waits for its end.
HttpAnswer call(const HttpCall &request);
HttpAnswer get(const std::string &url);
HttpAnswer post(const std::string &url, const std::string &body,
                const std::vector<std::string> &headers = {});

/// As `call`; `onData` gets the body's pieces as they come and returns false to leave.
HttpAnswer callStreamed(const HttpCall &request,
                        const std::function<bool(std::string_view)> &onData);

/// As `call`, but leaves, closing the connection, once it has `bytes` of the body.
HttpAnswer callAndLeave(const HttpCall &request, std::size_t bytes);

/// The payloads of an SSE body's `data:` lines.
std::vector<std::string> sseData(const std::string &body);

} // namespace zinniadoor::e2e
