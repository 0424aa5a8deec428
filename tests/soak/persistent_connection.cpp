#include "soak/persistent_connection.hpp"

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include "absl/strings/str_cat.h"

#include "zinniadoor/net/address.hpp"

namespace zinniadoor::soak {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using ErrorCode = boost::system::error_code;
using Parser = http::response_parser<http::string_body>;

/// Reads one response piece by piece.
struct ResponseReader
{
    void read()
    {
        http::async_read_some(stream, buffer, parser, [this](ErrorCode error, std::size_t) {
            failure = error;
            if (error || parser.is_done())
                return;
            if (goesOn && parser.is_header_done() && !goesOn(parser.get().body()))
                failure = boost::asio::error::operation_aborted;
            else
                read();
        });
    }

    beast::tcp_stream &stream;
    beast::flat_buffer &buffer;
    Parser &parser;
    const std::function<bool(const std::string &)> &goesOn;
    ErrorCode &failure;
};

} // namespace

void PersistentConnection::call(CallRecord &record, const CallOptions &options)
{
    if (!stream_)
        connect(options.timeout);
    if (!stream_)
        return;
    http::request<http::string_body> request(http::verb::post, record.path, 11);
    request.set(http::field::host, "h");
    request.set(http::field::authorization, "Bearer key-1");
    request.set("X-Zinniadoor-Request-Id", record.id);
    request.set("X-Zinniadoor-Deadline-Ms", absl::StrCat(options.deadline.count()));
    for (const auto &[name, value] : options.fields)
        request.set(name, value);
    request.body() = record.question;
    request.prepare_payload();
    Parser parser;
    parser.body_limit(std::size_t { 1 } << 20);
    ErrorCode failure;
    ResponseReader reader { *stream_, buffer_, parser, options.goesOn, failure };
    stream_->expires_after(options.timeout);
    http::async_write(*stream_, request, [&](ErrorCode error, std::size_t) {
        failure = error;
        if (!error)
            reader.read();
    });
    io_.restart();
    io_.run();
    if (parser.is_header_done()) {
        record.status = parser.get().result_int();
        record.isSigned = parser.get().find("X-Zinniadoor-Server-Signature") != parser.get().end();
        record.body = parser.get().body();
        record.complete = !failure && parser.is_done();
    }
    if (failure || !parser.is_done() || !parser.keep_alive())
        stream_.reset();
}

void PersistentConnection::connect(std::chrono::milliseconds timeout)
{
    buffer_.clear();
    stream_ = std::make_unique<beast::tcp_stream>(io_);
    ErrorCode failure;
    stream_->expires_after(timeout);
    stream_->async_connect(*net::parseEndpoint(address_),
                           [&](ErrorCode error) { failure = error; });
    io_.restart();
    io_.run();
    if (failure)
        stream_.reset();
}

} // namespace zinniadoor::soak
