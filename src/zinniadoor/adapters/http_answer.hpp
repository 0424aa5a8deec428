#pragma once

#include <string>
#include <vector>

#include <microhttpd.h>

#include "zinniadoor/ports/endpoint_client.hpp"

namespace zinniadoor::adapters::detail {

constexpr int StatusPayloadTooLarge = 413;
constexpr int StatusHeadersTooLarge = 431;

/// An answer's status and headers, with its body unless it is streamed.
struct HttpAnswer
{
    int status = 0;
    std::vector<ports::HttpHeader> headers;
    std::string body;
    bool streamed = false;
};

/// An error of the server itself: JSON, "not run".
HttpAnswer errorAnswer(int status, const char *code, const std::string &message);

/// Queues an answer whose body is `response` (taken over), without headers that belong to the
/// connection.
MHD_Result queueAnswer(MHD_Connection *connection, MHD_Response *response, const HttpAnswer &answer,
                       bool closeAfter);

/// Response with the answer's own body.
MHD_Response *wholeResponse(const HttpAnswer &answer);

/// The answer as it goes over a socket, with "Connection: close".
std::string answerText(const HttpAnswer &answer);

} // namespace zinniadoor::adapters::detail
