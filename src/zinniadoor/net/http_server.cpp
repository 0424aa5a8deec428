#include "zinniadoor/net/http_server.hpp"

#include <algorithm>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/str_cat.h"

#include "server_connection.hpp"
#include "zinniadoor/net/address.hpp"

namespace zinniadoor::net {

namespace {

using tcp = boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

/// Interval between checks for clients that don't accept their responses.
constexpr std::chrono::seconds StallCheckInterval(1);

/// Delay before accepting again after an error such as EMFILE.
constexpr std::chrono::milliseconds AcceptRetryDelay(20);

class Server : public HttpServer, public ConnectionHost, public std::enable_shared_from_this<Server>
{
public:
    Server(boost::asio::io_context &context, const ServerLimits &limits, RequestHandler &handler,
           InboundBytes *inbound)
        : acceptor_(context)
        , acceptRetryTimer_(context)
        , stallTimer_(context)
        , limits_(limits)
        , handler_(&handler)
        , inbound_(inbound)
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
        checkForStalls();
        return base::Done {};
    }

    std::uint16_t port() const override
    {
        ErrorCode ignored;
        return acceptor_.local_endpoint(ignored).port();
    }
    void setLimits(const ServerLimits &limits) override { limits_ = limits; }
    void drain(absl::Duration idleGrace) override
    {
        draining_ = true;
        for (const auto &[raw, connection] : connections_)
            connection->drain(idleGrace);
    }
    void close() override
    {
        handler_ = nullptr;
        ErrorCode ignored;
        acceptor_.close(ignored);
        acceptRetryTimer_.cancel();
        stallTimer_.cancel();
        const auto connections = std::move(connections_);
        connections_.clear();
        for (const auto &[raw, connection] : connections)
            connection->close();
    }
    std::size_t activeRequests() const override
    {
        std::size_t active = 0;
        for (const auto &[raw, connection] : connections_)
            active += connection->hasRequest() ? 1 : 0;
        return active;
    }

    const ServerLimits &limits() const override { return limits_; }
    bool draining() const override { return draining_; }
    RequestHandler *handler() override { return handler_; }
    void onClosed(ServerConnection *connection) override { connections_.erase(connection); }

private:
    void accept()
    {
        const std::weak_ptr<Server> weak = weak_from_this();
        acceptor_.async_accept([weak](ErrorCode error, tcp::socket socket) {
            const auto self = weak.lock();
            if (!self || !self->handler_ || error == boost::asio::error::operation_aborted)
                return;
            if (error) {
                self->scheduleAccept();
                return;
            }
            if (self->makeRoom()) {
                auto connection
                    = std::make_shared<ServerConnection>(std::move(socket), weak, self->inbound_);
                self->connections_[connection.get()] = connection;
                connection->start();
            }
            self->accept();
        });
    }

    /// Whether there may be another connection; closes an idle one for it.
    bool makeRoom()
    {
        if (limits_.maxConnections == 0 || connections_.size() < limits_.maxConnections)
            return true;
        const auto found
            = std::find_if(connections_.begin(), connections_.end(), [](const auto &entry) {
                  return entry.second->isIdle() && !entry.second->hasRequest();
              });
        const bool hasIdle = found != connections_.end();
        if (inbound_) {
            inbound_->noteRefusal(hasIdle ? InboundRefusal::IdleConnection
                                          : InboundRefusal::Connection);
        }
        if (hasIdle) {
            const auto idle = found->second;
            idle->close();
        }
        return hasIdle;
    }

    void checkForStalls()
    {
        const std::weak_ptr<Server> weak = weak_from_this();
        stallTimer_.expires_after(StallCheckInterval);
        stallTimer_.async_wait([weak](ErrorCode error) {
            const auto self = weak.lock();
            if (!self || error || !self->handler_)
                return;
            std::vector<std::shared_ptr<ServerConnection>> connections;
            for (const auto &[raw, connection] : self->connections_)
                connections.push_back(connection);
            for (const auto &connection : connections)
                connection->closeIfStalled(self->limits_.idleTimeout);
            self->checkForStalls();
        });
    }

    void scheduleAccept()
    {
        const std::weak_ptr<Server> weak = weak_from_this();
        acceptRetryTimer_.expires_after(AcceptRetryDelay);
        acceptRetryTimer_.async_wait([weak](ErrorCode error) {
            const auto self = weak.lock();
            if (self && !error && self->handler_)
                self->accept();
        });
    }

    tcp::acceptor acceptor_;
    boost::asio::steady_timer acceptRetryTimer_;
    boost::asio::steady_timer stallTimer_;
    ServerLimits limits_;
    RequestHandler *handler_;
    InboundBytes *inbound_;
    bool draining_ = false;
    absl::flat_hash_map<ServerConnection *, std::shared_ptr<ServerConnection>> connections_;
};

/// Owning handle: closes the server, which pending callbacks may outlive.
class ServerHandle : public HttpServer
{
public:
    explicit ServerHandle(std::shared_ptr<Server> server)
        : server_(std::move(server))
    { }
    ~ServerHandle() override { server_->close(); }
    std::uint16_t port() const override { return server_->port(); }
    void setLimits(const ServerLimits &limits) override { server_->setLimits(limits); }
    void drain(absl::Duration idleGrace) override { server_->drain(idleGrace); }
    void close() override { server_->close(); }
    std::size_t activeRequests() const override { return server_->activeRequests(); }

private:
    std::shared_ptr<Server> server_;
};

} // namespace

base::Outcome<std::unique_ptr<HttpServer>>
listenHttp(boost::asio::io_context &context, const std::string &address, const ServerLimits &limits,
           RequestHandler &handler, InboundBytes *inbound)
{
    auto server = std::make_shared<Server>(context, limits, handler, inbound);
    const base::Status listening = server->listen(address);
    if (!listening)
        return listening.lastReason();
    return std::unique_ptr<HttpServer>(std::make_unique<ServerHandle>(std::move(server)));
}

} // namespace zinniadoor::net
