#include "zinniadoor/net/datagram_socket.hpp"

#include <array>

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

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

/// A socket that no datagram reaches is found empty this often.
constexpr absl::Duration EmptyInterval = absl::Milliseconds(100);

/// Shorter waits are those of ordinary operation: the interval, and work that delays its timer.
constexpr absl::Duration OrdinaryWait = absl::Milliseconds(250);

/// Datagrams read at a time, so that other handlers run while more arrive than can be handled.
constexpr int MaxReadsInTurn = 64;

class Socket : public std::enable_shared_from_this<Socket>
{
public:
    using Received = std::function<void(const Datagram &)>;

    Socket(boost::asio::io_context &context, const base::Clock &clock, Received received)
        : socket_(context)
        , timer_(context)
        , clock_(clock)
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
        emptyAt_ = clock_.now();
        receive();
        checkLater();
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
        timer_.cancel();
        ErrorCode ignored;
        socket_.close(ignored);
    }

private:
    void deliver(const Datagram &datagram)
    {
        try {
            received_(datagram);
        } catch (const std::exception &error) {
            base::logEvent(base::EventId::EventHandlerFailed,
                           { { "peer", datagram.from }, { "reason", error.what() } });
        }
    }

    void receive()
    {
        socket_.async_wait(udp::socket::wait_read, [self = shared_from_this()](ErrorCode error) {
            if (self->received_ && error != boost::asio::error::operation_aborted)
                self->readAll();
        });
    }

    void readAll()
    {
        const bool isEmpty = readSome();
        if (!received_)
            return;
        if (isEmpty)
            receive();
        else
            boost::asio::post(socket_.get_executor(), [self = shared_from_this()] {
                if (self->received_)
                    self->readAll();
            });
    }

    /// Without datagrams, only the timer notes that there are none.
    void checkLater()
    {
        timer_.expires_after(absl::ToChronoMilliseconds(EmptyInterval));
        timer_.async_wait([self = shared_from_this()](ErrorCode error) {
            if (error || !self->received_)
                return;
            self->readSome();
            if (self->received_)
                self->checkLater();
        });
    }

    /// Returns whether no datagram is left.
    bool readSome()
    {
        for (int i = 0; i < MaxReadsInTurn && received_; ++i) {
            const absl::Time readAt = clock_.now();
            ErrorCode error;
            udp::endpoint sender;
            const std::size_t size
                = socket_.receive_from(boost::asio::buffer(buffer_), sender, 0, error);
            if (error == boost::asio::error::would_block) {
                emptyAt_ = readAt;
                return true;
            }
            if (error)
                continue;
            const absl::Duration waited = readAt - emptyAt_;
            deliver({ std::string(buffer_.data(), size),
                      absl::StrCat(sender.address().to_string(), ":", sender.port()),
                      waited > OrdinaryWait ? waited : absl::ZeroDuration() });
        }
        return false;
    }

    udp::socket socket_;
    boost::asio::steady_timer timer_;
    const base::Clock &clock_;
    std::array<char, MaxDatagramBytes> buffer_ {};
    Received received_;
    absl::Time emptyAt_; ///< When no datagram was left unread.
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
                   const base::Clock &clock, std::function<void(const Datagram &)> received)
{
    auto socket = std::make_shared<Socket>(context, clock, std::move(received));
    const base::Status opened = socket->open(address);
    if (!opened)
        return opened.lastReason();
    return std::unique_ptr<DatagramSocket>(std::make_unique<SocketHandle>(std::move(socket)));
}

} // namespace zinniadoor::net
