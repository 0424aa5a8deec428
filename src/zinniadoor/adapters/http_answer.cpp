#include "http_answer.hpp"

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

HttpAnswer errorAnswer(int status, const char *code, const std::string &message)
{
    const nlohmann::json body = { { "error", { { "code", code }, { "message", message } } } };
    HttpAnswer answer;
    answer.status = status;
    answer.headers = { { "Content-Type", "application/json" }, { "Zinniadoor-Run", "not-run" } };
    answer.body = body.dump();
    return answer;
}

MHD_Result queueAnswer(MHD_Connection *connection, MHD_Response *response, const HttpAnswer &answer,
                       bool closeAfter)
{
    if (response == nullptr)
        return MHD_NO;
    for (const ports::HttpHeader &header : answer.headers) {
        if (!isConnectionHeader(header.name))
            MHD_add_response_header(response, header.name.c_str(), header.value.c_str());
    }
    if (closeAfter)
        MHD_add_response_header(response, "Connection", "close");
    const MHD_Result queued
        = MHD_queue_response(connection, static_cast<unsigned>(answer.status), response);
    MHD_destroy_response(response);
    return queued;
}

MHD_Response *wholeResponse(const HttpAnswer &answer)
{
    return MHD_create_response_from_buffer(
        answer.body.size(), const_cast<char *>(answer.body.data()), MHD_RESPMEM_MUST_COPY);
}

std::string answerText(const HttpAnswer &answer)
{
    const char *phrase = MHD_get_reason_phrase_for(static_cast<unsigned>(answer.status));
    std::string text
        = absl::StrCat("HTTP/1.1 ", answer.status, " ", phrase,
                       "\r\nConnection: close\r\nContent-Length: ", answer.body.size(), "\r\n");
    for (const ports::HttpHeader &header : answer.headers)
        absl::StrAppend(&text, header.name, ": ", header.value, "\r\n");
    absl::StrAppend(&text, "\r\n", answer.body);
    return text;
}

} // namespace zinniadoor::adapters::detail
