#include "zinniadoor/net/head_server.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>

#include "absl/container/flat_hash_set.h"
#include "absl/strings/str_cat.h"

#include "zinniadoor/net/address.hpp"

namespace zinniadoor::net {

namespace {

namespace http = boost::beast::http;
using tcp = boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

/// Delay before accepting again after an error such as EMFILE.
constexpr std::chrono::milliseconds AcceptRetryDelay(20);

class Server : public HeadServer, public std::enable_shared_from_this<Server>
{
public:
    Server(boost::asio::io_context &context, const HeadServerOptions &options,
           std::function<void(std::shared_ptr<HeadConnection>)> onHead)
        : context_(context)
        , acceptor_(context)
        , acceptRetryTimer_(context)
        , options_(options)
        , onHead_(std::move(onHead))
    { }

    base::Status listen(const std::string &address)
    {
        const auto endpoint = parseEndpoint(address);
        if (!endpoint)
            return endpoint.lastReason();
        ErrorCode error;
        acceptor_.open(endpoint->protocol(), error);
        if (!error)
            acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
        if (!error)
            acceptor_.bind(*endpoint, error);
        if (!error)
            acceptor_.listen(boost::asio::socket_base::max_listen_connections, error);
        if (error) {
            return base::Reason { base::ReasonCode::Unavailable,
                                  absl::StrCat("cannot listen on ", address, ": ",
                                               error.message()) };
        }
        accept();
        return base::Done {};
    }

    std::uint16_t port() const override
    {
        ErrorCode ignored;
        return acceptor_.local_endpoint(ignored).port();
    }

    void close() override
    {
        onHead_ = nullptr;
        ErrorCode ignored;
        acceptor_.close(ignored);
        acceptRetryTimer_.cancel();
        for (const auto &waiting : std::exchange(waiting_, {})) {
            waiting->timer.cancel();
            waiting->socket.close(ignored);
        }
    }

private:
    struct Waiting
    {
        Waiting(boost::asio::io_context &context, std::size_t maxHeadBytes)
            : socket(context)
            , timer(context)
            , buffer(2 * maxHeadBytes)
        { }

        tcp::socket socket;
        boost::asio::steady_timer timer;
        boost::beast::flat_buffer buffer;
        http::request_parser<http::empty_body> parser;
    };

    void accept()
    {
        auto self = shared_from_this();
        auto waiting = std::make_shared<Waiting>(context_, options_.maxHeadBytes);
        acceptor_.async_accept(waiting->socket, [self, waiting](ErrorCode error) {
            if (!self->onHead_)
                return;
            if (error) {
                self->acceptLater();
                return;
            }
            if (self->waiting_.size() < self->options_.maxWaiting)
                self->readHead(waiting);
            self->accept();
        });
    }

    void acceptLater()
    {
        auto self = shared_from_this();
        acceptRetryTimer_.expires_after(AcceptRetryDelay);
        acceptRetryTimer_.async_wait([self](ErrorCode error) {
            if (!error && self->onHead_)
                self->accept();
        });
    }

    void readHead(const std::shared_ptr<Waiting> &waiting)
    {
        auto self = shared_from_this();
        waiting_.insert(waiting);
        ErrorCode ignored;
        waiting->socket.set_option(tcp::no_delay(true), ignored);
        waiting->parser.header_limit(static_cast<std::uint32_t>(options_.maxHeadBytes));
        waiting->timer.expires_after(absl::ToChronoMilliseconds(options_.headTimeout));
        waiting->timer.async_wait([self, waiting](ErrorCode error) {
            if (error || self->waiting_.erase(waiting) == 0)
                return;
            ErrorCode closed;
            waiting->socket.close(closed);
        });
        http::async_read_header(waiting->socket, waiting->buffer, waiting->parser,
                                [self, waiting](ErrorCode error, std::size_t) {
                                    if (self->waiting_.erase(waiting) == 0)
                                        return;
                                    waiting->timer.cancel();
                                    if (!error && self->onHead_)
                                        self->handOver(*waiting);
                                });
    }

    void handOver(Waiting &waiting)
    {
        auto connection = std::make_shared<HeadConnection>(
            HeadConnection { std::move(waiting.socket), waiting.parser.get().base(),
                             boost::beast::buffers_to_string(waiting.buffer.data()) });
        onHead_(std::move(connection));
    }

    boost::asio::io_context &context_;
    tcp::acceptor acceptor_;
    boost::asio::steady_timer acceptRetryTimer_;
    HeadServerOptions options_;
    std::function<void(std::shared_ptr<HeadConnection>)> onHead_;
    absl::flat_hash_set<std::shared_ptr<Waiting>> waiting_;
};

class OwnedServer : public HeadServer
{
public:
    explicit OwnedServer(std::shared_ptr<Server> server)
        : server_(std::move(server))
    { }
    ~OwnedServer() override { server_->close(); }
    std::uint16_t port() const override { return server_->port(); }
    void close() override { server_->close(); }

private:
    std::shared_ptr<Server> server_;
};

} // namespace

base::Outcome<std::unique_ptr<HeadServer>>
listenForHeads(boost::asio::io_context &context, const std::string &address,
               const HeadServerOptions &options,
               std::function<void(std::shared_ptr<HeadConnection>)> onHead)
{
    auto server = std::make_shared<Server>(context, options, std::move(onHead));
    const base::Status listening = server->listen(address);
    if (!listening)
        return listening.lastReason();
    return std::unique_ptr<HeadServer>(std::make_unique<OwnedServer>(std::move(server)));
}

} // namespace zinniadoor::net
