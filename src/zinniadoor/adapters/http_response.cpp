#include "http_response.hpp"

#include <nlohmann/json.hpp>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

namespace zinniadoor::adapters::detail {

namespace {

bool isConnectionHeader(const std::string &name)
{
    return absl::EqualsIgnoreCase(name, "Connection") || absl::EqualsIgnoreCase(name, "Keep-Alive")
        || absl::EqualsIgnoreCase(name, "Transfer-Encoding")
        || absl::EqualsIgnoreCase(name, "Content-Length")
        || absl::EqualsIgnoreCase(name, "Upgrade");
}

} // namespace

HttpResponse errorResponse(int status, const char *code, const std::string &message)
{
    const nlohmann::json body = { { "error", { { "code", code }, { "message", message } } } };
    HttpResponse response;
    response.status = status;
    response.headers = { { "Content-Type", "application/json" }, { "Zinniadoor-Run", "not-run" } };
    response.body = body.dump();
    return response;
}

MHD_Result queueResponse(MHD_Connection *connection, MHD_Response *mhdResponse,
                         const HttpResponse &response, bool closeAfter)
{
    if (mhdResponse == nullptr)
        return MHD_NO;
    for (const ports::HttpHeader &header : response.headers) {
        if (!isConnectionHeader(header.name))
            MHD_add_response_header(mhdResponse, header.name.c_str(), header.value.c_str());
    }
    if (closeAfter)
        MHD_add_response_header(mhdResponse, "Connection", "close");
    const MHD_Result queued
        = MHD_queue_response(connection, static_cast<unsigned>(response.status), mhdResponse);
    MHD_destroy_response(mhdResponse);
    return queued;
}

MHD_Response *createMhdResponse(const HttpResponse &response)
{
    return MHD_create_response_from_buffer(
        response.body.size(), const_cast<char *>(response.body.data()), MHD_RESPMEM_MUST_COPY);
}

std::string serializeResponse(const HttpResponse &response)
{
    const char *phrase = MHD_get_reason_phrase_for(static_cast<unsigned>(response.status));
    std::string text
        = absl::StrCat("HTTP/1.1 ", response.status, " ", phrase,
                       "\r\nConnection: close\r\nContent-Length: ", response.body.size(), "\r\n");
    for (const ports::HttpHeader &header : response.headers)
        absl::StrAppend(&text, header.name, ": ", header.value, "\r\n");
    absl::StrAppend(&text, "\r\n", response.body);
    return text;
}

} // namespace zinniadoor::adapters::detail
