#pragma once

#include <string>
#include <vector>

#include <microhttpd.h>

#include "zinniadoor/ports/endpoint_client.hpp"

namespace zinniadoor::adapters::detail {

constexpr int StatusPayloadTooLarge = 413;
constexpr int StatusHeadersTooLarge = 431;

/// An response's status and headers, with its body unless it is streamed.
struct HttpResponse
{
    int status = 0;
    std::vector<ports::HttpHeader> headers;
    std::string body;
    bool streamed = false;
};

/// An error of the server itself: JSON, "not run".
HttpResponse errorResponse(int status, const char *code, const std::string &message);

/// Queues an response whose body is `response` (taken over), without headers that belong to the
/// connection.
MHD_Result queueResponse(MHD_Connection *connection, MHD_Response *mhdResponse,
                         const HttpResponse &response, bool closeAfter);

/// Response with the response's own body.
MHD_Response *createMhdResponse(const HttpResponse &response);

/// The response as it goes over a socket, with "Connection: close".
std::string serializeResponse(const HttpResponse &response);

} // namespace zinniadoor::adapters::detail
