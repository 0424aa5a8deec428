#pragma once

#include <string>
#include <vector>

#include <microhttpd.h>

#include "zinniadoor/ports/endpoint_client.hpp"

namespace zinniadoor::adapters::detail {

constexpr int StatusPayloadTooLarge = 413;
constexpr int StatusHeadersTooLarge = 431;

/// Status, headers and, unless it is streamed, body of a response.
struct HttpResponse
{
    int status = 0;
    std::vector<ports::HttpHeader> headers;
    std::string body;
    bool streamed = false;
};

/// Error response of the server itself: JSON, with "Zinniadoor-Run: not-run".
HttpResponse errorResponse(int status, const char *code, const std::string &message);

/// Queues `mhdResponse`, which it takes over, with the status and headers of `response`. Connection
/// and framing headers are left out.
MHD_Result queueResponse(MHD_Connection *connection, MHD_Response *mhdResponse,
                         const HttpResponse &response, bool closeAfter);

/// Creates a libmicrohttpd response with a copy of the body.
MHD_Response *createMhdResponse(const HttpResponse &response);

/// Serialises status line, headers and body, with "Connection: close".
std::string serializeResponse(const HttpResponse &response);

} // namespace zinniadoor::adapters::detail
