#include "zinniadoor/net/datagram_socket.hpp"

#include <array>

#include <boost/asio/ip/udp.hpp>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/str_cat.h"

#include "zinniadoor/base/events.hpp"
#include "zinniadoor/net/address.hpp"

namespace zinniadoor::net {

namespace {

using udp = boost::asio::ip::udp;
using ErrorCode = boost::system::error_code;

/// Largest UDP payload over IPv4.
constexpr std::size_t MaxDatagramBytes = 65507;

class Socket : public std::enable_shared_from_this<Socket>
{
public:
    using Received = std::function<void(const std::string &, const std::string &)>;

    Socket(boost::asio::io_context &context, Received received)
        : socket_(context)
        , received_(std::move(received))
    { }

    base::Status open(const std::string &address)
    {
        const auto endpoint = parseEndpoint(address);
        if (!endpoint)
            return endpoint.lastReason();
        ErrorCode error;
        socket_.open(endpoint->address().is_v6() ? udp::v6() : udp::v4(), error);
        if (!error)
            socket_.bind(udp::endpoint(endpoint->address(), endpoint->port()), error);
        if (!error)
            socket_.non_blocking(true, error);
        if (error) {
            return base::Reason { base::ReasonCode::Unavailable,
                                  absl::StrCat("cannot bind ", address, ": ", error.message()) };
        }
        receive();
        return base::Done {};
    }

    void send(const std::string &address, const std::string &bytes)
    {
        const auto endpoint = parseEndpoint(address);
        if (!endpoint)
            return;
        ErrorCode ignored; // UDP gives no delivery guarantee, so a failed send is a lost datagram.
        socket_.send_to(boost::asio::buffer(bytes),
                        udp::endpoint(endpoint->address(), endpoint->port()), 0, ignored);
    }

    std::uint16_t port() const
    {
        ErrorCode ignored;
        return socket_.local_endpoint(ignored).port();
    }

    void close()
    {
        received_ = nullptr;
        ErrorCode ignored;
        socket_.close(ignored);
    }

private:
    void deliver(const std::string &bytes, const std::string &from)
    {
        try {
            received_(bytes, from);
        } catch (const std::exception &error) {
            base::logEvent(base::EventId::EventHandlerFailed,
                           { { "peer", from }, { "reason", error.what() } });
        }
    }

    void receive()
    {
        auto self = shared_from_this();
        socket_.async_receive_from(
            boost::asio::buffer(buffer_), sender_, [self](ErrorCode error, std::size_t size) {
                if (!self->received_ || error == boost::asio::error::operation_aborted)
                    return;
                if (!error) {
                    const std::string from = absl::StrCat(self->sender_.address().to_string(), ":",
                                                          self->sender_.port());
                    self->deliver(std::string(self->buffer_.data(), size), from);
                }
                if (self->received_)
                    self->receive();
            });
    }

    udp::socket socket_;
    udp::endpoint sender_;
    std::array<char, MaxDatagramBytes> buffer_ {};
    Received received_;
};

/// Owning handle: closes the socket, which pending callbacks may outlive.
class SocketHandle : public DatagramSocket
{
public:
    explicit SocketHandle(std::shared_ptr<Socket> socket)
        : socket_(std::move(socket))
    { }
    ~SocketHandle() override { socket_->close(); }
    void send(const std::string &address, const std::string &bytes) override
    {
        socket_->send(address, bytes);
    }
    std::uint16_t port() const override { return socket_->port(); }

private:
    std::shared_ptr<Socket> socket_;
};

} // namespace

base::Outcome<std::unique_ptr<DatagramSocket>>
openDatagramSocket(boost::asio::io_context &context, const std::string &address,
                   std::function<void(const std::string &, const std::string &)> received)
{
    auto socket = std::make_shared<Socket>(context, std::move(received));
    const base::Status opened = socket->open(address);
    if (!opened)
        return opened.lastReason();
    return std::unique_ptr<DatagramSocket>(std::make_unique<SocketHandle>(std::move(socket)));
}

} // namespace zinniadoor::net
