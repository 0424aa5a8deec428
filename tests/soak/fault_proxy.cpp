#include "soak/fault_proxy.hpp"

#include <array>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include "absl/strings/str_cat.h"

#include "zinniadoor/net/address.hpp"

namespace zinniadoor::soak {

namespace {

using tcp = boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

constexpr std::chrono::milliseconds SlowDelay(40);

tcp::endpoint parseEndpointOrAbort(const std::string &text)
{
    const auto endpoint = net::parseEndpoint(text);
    if (!endpoint)
        std::abort();
    return *endpoint;
}

} // namespace

/// A proxied connection.
struct FaultProxy::Connection : std::enable_shared_from_this<FaultProxy::Connection>
{
    Connection(FaultProxy &proxyOwner, tcp::socket fromClient)
        : owner(proxyOwner)
        , client(std::move(fromClient))
        , server(proxyOwner.io_)
    { }

    void start()
    {
        auto self = shared_from_this();
        server.async_connect(owner.target_, [self](ErrorCode error) {
            if (error) {
                self->reset();
                return;
            }
            self->forward(self->client, self->server, true);
            self->forward(self->server, self->client, false);
        });
    }

    bool discards(bool towardsServer) const
    {
        const LinkState state = owner.state_;
        return silenced || state == LinkState::Silent
            || (state == LinkState::DropRequests && towardsServer)
            || (state == LinkState::DropAnswers && !towardsServer);
    }

    void forward(tcp::socket &from, tcp::socket &to, bool towardsServer)
    {
        auto self = shared_from_this();
        auto buffer = std::make_shared<std::array<char, 16384>>();
        from.async_read_some(
            boost::asio::buffer(*buffer),
            [self, buffer, &from, &to, towardsServer](ErrorCode error, std::size_t size) {
                if (error) {
                    if (!self->discards(towardsServer))
                        self->close();
                    return;
                }
                const auto delay
                    = self->owner.state_ == LinkState::Slow ? SlowDelay : SlowDelay * 0;
                auto timer = std::make_shared<boost::asio::steady_timer>(self->owner.io_, delay);
                timer->async_wait([self, buffer, size, timer, &from, &to,
                                   towardsServer](ErrorCode) {
                    ErrorCode failed;
                    if (!self->discards(towardsServer))
                        boost::asio::write(to, boost::asio::buffer(buffer->data(), size), failed);
                    if (failed)
                        self->close();
                    else
                        self->forward(from, to, towardsServer);
                });
            });
    }

    void close()
    {
        ErrorCode ignored;
        client.close(ignored);
        server.close(ignored);
        owner.connections_.erase(shared_from_this());
    }

    void reset()
    {
        ErrorCode ignored;
        client.set_option(boost::asio::socket_base::linger(true, 0), ignored);
        server.set_option(boost::asio::socket_base::linger(true, 0), ignored);
        close();
    }

    FaultProxy &owner;
    tcp::socket client;
    tcp::socket server;
    bool silenced = false;
};

FaultProxy::FaultProxy(const std::string &target)
    : work_(boost::asio::make_work_guard(io_))
    , target_(parseEndpointOrAbort(target))
    , acceptor_(io_, { boost::asio::ip::address_v4::loopback(), 0 })
{
    accept();
    thread_ = std::thread([this] { io_.run(); });
}

FaultProxy::~FaultProxy()
{
    io_.stop();
    thread_.join();
    connections_.clear();
}

std::string FaultProxy::address() const
{
    return absl::StrCat("127.0.0.1:", acceptor_.local_endpoint().port());
}

void FaultProxy::accept()
{
    acceptor_.async_accept([this](ErrorCode error, tcp::socket socket) {
        if (error)
            return;
        auto connection = std::make_shared<Connection>(*this, std::move(socket));
        connections_.insert(connection);
        if (state_ == LinkState::Refusing)
            connection->reset();
        else
            connection->start();
        accept();
    });
}

void FaultProxy::set(LinkState state)
{
    state_ = state;
    if (state == LinkState::Refusing)
        resetOpenConnections();
}

void FaultProxy::silenceOpenConnections()
{
    boost::asio::post(io_, [this] {
        for (const auto &connection : connections_)
            connection->silenced = true;
    });
}

void FaultProxy::resetOpenConnections()
{
    boost::asio::post(io_, [this] {
        const auto connections = connections_;
        for (const auto &connection : connections)
            connection->reset();
    });
}

} // namespace zinniadoor::soak
