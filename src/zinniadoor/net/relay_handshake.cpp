#include "relay_handshake.hpp"

#include <algorithm>
#include <memory>

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"

#include "zinniadoor/net/relay_frames.hpp"

namespace zinniadoor::net {

namespace {

namespace http = boost::beast::http;
using ErrorCode = boost::system::error_code;

constexpr std::size_t MaxHeadBytes = 4096;

struct Handshake
{
    std::string request;
    boost::beast::flat_buffer buffer { MaxHeadBytes };
    http::response_parser<http::empty_body> parser;
    std::function<void(const RelayAnswer &)> done;
};

RelayAnswer answerOf(const Handshake &handshake)
{
    const auto &head = handshake.parser.get();
    if (head.result() != http::status::ok)
        return { absl::StrCat("the relay responded with status ", head.result_int()),
                 head.result() == http::status::bad_gateway };
    // The destination sends nothing before it has received a request.
    if (handshake.buffer.size() > 0)
        return { "bytes after the response of the relay" };
    RelayAnswer answer;
    answer.sendsFrames = head[RelayFramesField] == RelayFramesValue;
    return answer;
}

} // namespace

void requestRelay(boost::asio::ip::tcp::socket &socket, const std::string &destination,
                  std::function<void(const RelayAnswer &)> done)
{
    if (!std::all_of(destination.begin(), destination.end(), absl::ascii_isgraph)) {
        done({ "the destination cannot be named in a request", true });
        return;
    }
    auto handshake = std::make_shared<Handshake>();
    handshake->request = absl::StrCat("CONNECT ", destination, " HTTP/1.1\r\nHost: ", destination,
                                      "\r\n", RelayFramesField, ": ", RelayFramesValue, "\r\n\r\n");
    handshake->done = std::move(done);
    handshake->parser.skip(true);
    handshake->parser.header_limit(MaxHeadBytes);
    boost::asio::async_write(socket, boost::asio::buffer(handshake->request),
                             [&socket, handshake](ErrorCode writeError, std::size_t) {
                                 if (writeError == boost::asio::error::operation_aborted)
                                     return;
                                 if (writeError) {
                                     handshake->done({ writeError.message() });
                                     return;
                                 }
                                 http::async_read_header(
                                     socket, handshake->buffer, handshake->parser,
                                     [handshake](ErrorCode error, std::size_t) {
                                         if (error == boost::asio::error::operation_aborted)
                                             return;
                                         handshake->done(error ? RelayAnswer { error.message() }
                                                               : answerOf(*handshake));
                                     });
                             });
}

} // namespace zinniadoor::net
