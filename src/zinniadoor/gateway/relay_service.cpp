#include "zinniadoor/gateway/relay_service.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <unordered_set>
#include <utility>

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include "absl/strings/str_cat.h"

#include "zinniadoor/base/events.hpp"
#include "zinniadoor/net/address.hpp"
#include "zinniadoor/net/relay_frames.hpp"

namespace zinniadoor::gateway {

namespace {

using boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

constexpr std::size_t BufferBytes = std::size_t { 16 } * 1024;

/// An end that is gone without a word is noticed after this time, idle or not.
constexpr int KeepAliveIdleS = 5;
constexpr int KeepAliveIntervalS = 1;
constexpr int KeepAliveProbes = 3;

/// An answer that has been silent for longer may have ended: bytes do not show where it does.
constexpr std::chrono::seconds AnswerPause(2);

template <int Level, int Name>
using IntegerOption = boost::asio::detail::socket_option::integer<Level, Name>;

void setOptions(tcp::socket &socket)
{
    ErrorCode ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
    socket.set_option(IntegerOption<IPPROTO_TCP, TCP_KEEPIDLE>(KeepAliveIdleS), ignored);
    socket.set_option(IntegerOption<IPPROTO_TCP, TCP_KEEPINTVL>(KeepAliveIntervalS), ignored);
    socket.set_option(IntegerOption<IPPROTO_TCP, TCP_KEEPCNT>(KeepAliveProbes), ignored);
}

} // namespace

class RelayService::Impl : public std::enable_shared_from_this<Impl>
{
public:
    Impl(boost::asio::io_context &context,
         std::function<std::optional<std::string>(const std::string &)> addressOf,
         const RelayOptions &options)
        : context_(context)
        , addressOf_(std::move(addressOf))
        , options_(options)
    { }

    void serve(const std::shared_ptr<net::HeadConnection> &connection)
    {
        const auto target = connection->head.target();
        const std::string destination(target.data(), target.size());
        if (!accepting_ || pairs_.size() >= options_.maxConnections) {
            reject(connection, "503 Service Unavailable");
            return;
        }
        const auto address = addressOf_(destination);
        const auto endpoint = address ? net::parseEndpoint(*address)
                                      : base::Outcome<tcp::endpoint>(base::Reason {});
        if (!endpoint) {
            reject(connection, "404 Not Found");
            return;
        }
        const auto pair = std::make_shared<Pair>(context_, connection, shared_from_this());
        pair->connect(*endpoint, options_.connectTimeout);
    }

    void close() { accepting_ = false; }
    void setFaultFinder(FaultFinder finder) { findFault_ = std::move(finder); }
    void setAccepting(bool accepting) { accepting_ = accepting; }
    std::size_t connections() const { return pairs_.size(); }
    std::size_t busyConnections() const
    {
        const auto now = std::chrono::steady_clock::now();
        return static_cast<std::size_t>(std::count_if(
            pairs_.begin(), pairs_.end(), [now](const Pair *pair) { return pair->isBusy(now); }));
    }

private:
    /// The two connections between which bytes are passed on. Kept alive by its own operations.
    class Pair : public std::enable_shared_from_this<Pair>
    {
    public:
        Pair(boost::asio::io_context &context,
             const std::shared_ptr<net::HeadConnection> &connection, std::shared_ptr<Impl> owner)
            : instance_(std::move(connection->socket))
            , endpoint_(context)
            , timer_(context)
            , destination_(connection->head.target())
            , first_(std::move(connection->rest))
            , owner_(std::move(owner))
        {
            answers_.isFramed = connection->head[net::RelayFramesField] == net::RelayFramesValue;
            owner_->pairs_.insert(this);
        }
        ~Pair() { owner_->pairs_.erase(this); }
        Pair(const Pair &) = delete;
        Pair &operator=(const Pair &) = delete;

        void connect(const tcp::endpoint &address, absl::Duration timeout)
        {
            auto self = shared_from_this();
            setOptions(instance_);
            timer_.expires_after(absl::ToChronoMilliseconds(timeout));
            timer_.async_wait([self](ErrorCode error) {
                ErrorCode ignored;
                if (!error)
                    self->endpoint_.close(ignored);
            });
            endpoint_.async_connect(address, [self](ErrorCode error) {
                self->timer_.cancel();
                if (error) {
                    self->rejectUnconnected();
                    return;
                }
                setOptions(self->endpoint_);
                self->begin();
            });
        }

        tcp::socket &instance() { return instance_; }

        bool isBusy(std::chrono::steady_clock::time_point now) const
        {
            return requests_.passedAt > answers_.passedAt || now < answers_.passedAt + AnswerPause;
        }

        void rejectUnconnected()
        {
            const auto self = shared_from_this();
            owner_->findFault_(
                destination_, [self] { reject(self, "502 Bad Gateway"); },
                [self] { reject(self, "503 Service Unavailable"); });
        }

    private:
        struct Direction
        {
            tcp::socket &from;
            tcp::socket &to;
            bool isFramed = false;
            bool isWriting = false;
            std::chrono::steady_clock::time_point passedAt {}; ///< The last bytes.
            net::RelayFrameHead frameHead {};
            std::array<char, BufferBytes> buffer {};
        };

        void begin()
        {
            auto self = shared_from_this();
            accepted_ = answers_.isFramed
                ? absl::StrCat("HTTP/1.1 200 OK\r\n", net::RelayFramesField, ": ",
                               net::RelayFramesValue, "\r\n\r\n")
                : "HTTP/1.1 200 OK\r\n\r\n";
            boost::asio::async_write(instance_, boost::asio::buffer(accepted_),
                                     [self](ErrorCode error, std::size_t) {
                                         if (error)
                                             self->reset();
                                         else
                                             self->pass(self->answers_);
                                     });
            if (first_.empty()) {
                pass(requests_);
                return;
            }
            requests_.isWriting = true;
            requests_.passedAt = std::chrono::steady_clock::now();
            boost::asio::async_write(endpoint_, boost::asio::buffer(first_),
                                     [self](ErrorCode error, std::size_t) {
                                         self->requests_.isWriting = false;
                                         if (error)
                                             self->reset();
                                         else
                                             self->pass(self->requests_);
                                     });
        }

        void pass(Direction &direction)
        {
            auto self = shared_from_this();
            direction.from.async_read_some(boost::asio::buffer(direction.buffer),
                                           [self, &direction](ErrorCode error, std::size_t size) {
                                               if (error == boost::asio::error::eof)
                                                   self->end(direction);
                                               else if (error)
                                                   self->reset();
                                               else
                                                   self->write(direction, size);
                                           });
        }

        void write(Direction &direction, std::size_t size)
        {
            auto self = shared_from_this();
            direction.isWriting = true;
            direction.passedAt = std::chrono::steady_clock::now();
            boost::asio::async_write(direction.to, contentOf(direction, size),
                                     [self, &direction](ErrorCode error, std::size_t) {
                                         direction.isWriting = false;
                                         if (error)
                                             self->reset();
                                         else
                                             self->pass(direction);
                                     });
        }

        static std::array<boost::asio::const_buffer, 2> contentOf(Direction &direction,
                                                                  std::size_t size)
        {
            static_assert(BufferBytes <= net::MaxRelayFrameBytes);
            direction.frameHead = net::relayFrameHead(size);
            const boost::asio::const_buffer head = boost::asio::buffer(direction.frameHead);
            return { direction.isFramed ? head : boost::asio::const_buffer(),
                     boost::asio::buffer(direction.buffer.data(), size) };
        }

        /// Whether bytes of a request are still on their way to the endpoint.
        bool isUploading()
        {
            ErrorCode ignored;
            return requests_.isWriting || instance_.available(ignored) > 0;
        }

        // An orderly end in one direction is passed on; the other one goes on. An endpoint that has
        // ended its connection before it has received the whole request may have been cut.
        void end(Direction &direction)
        {
            if (!direction.isFramed || isUploading()) {
                shutdownSend(direction.to);
                return;
            }
            auto self = shared_from_this();
            boost::asio::async_write(direction.to, contentOf(direction, 0),
                                     [self, &direction](ErrorCode error, std::size_t) {
                                         if (error)
                                             self->reset();
                                         else
                                             shutdownSend(direction.to);
                                     });
        }

        static void shutdownSend(tcp::socket &socket)
        {
            ErrorCode ignored;
            socket.shutdown(tcp::socket::shutdown_send, ignored);
        }

        // A reset must not look like an orderly end, which may complete an answer.
        void reset()
        {
            ErrorCode ignored;
            for (tcp::socket *socket : { &instance_, &endpoint_ }) {
                socket->set_option(boost::asio::socket_base::linger(true, 0), ignored);
                socket->close(ignored);
            }
        }

        tcp::socket instance_;
        tcp::socket endpoint_;
        boost::asio::steady_timer timer_;
        std::string destination_;
        std::string first_; ///< Bytes that came with the request.
        std::string accepted_; ///< Response to the request.
        Direction requests_ { instance_, endpoint_ };
        Direction answers_ { endpoint_, instance_ };
        std::shared_ptr<Impl> owner_;
    };

    /// `holder` owns the connection until the response has been sent.
    template <typename Holder>
    static void respond(tcp::socket &socket, Holder holder, const char *status)
    {
        const auto text = std::make_shared<const std::string>(absl::StrCat(
            "HTTP/1.1 ", status, "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"));
        boost::asio::async_write(socket, boost::asio::buffer(*text),
                                 [holder, text, &socket](ErrorCode, std::size_t) {
                                     ErrorCode ignored;
                                     socket.shutdown(tcp::socket::shutdown_send, ignored);
                                 });
    }
    static void reject(const std::shared_ptr<net::HeadConnection> &connection, const char *status)
    {
        respond(connection->socket, connection, status);
    }
    static void reject(const std::shared_ptr<Pair> &pair, const char *status)
    {
        respond(pair->instance(), pair, status);
    }

    boost::asio::io_context &context_;
    std::function<std::optional<std::string>(const std::string &)> addressOf_;
    RelayOptions options_;
    std::unordered_set<const Pair *> pairs_; ///< Each as long as it exists.
    bool accepting_ = true;
    FaultFinder findFault_ = [](const std::string &, const std::function<void()> &onFault,
                                const std::function<void()> &) { onFault(); };
};

RelayService::RelayService(boost::asio::io_context &context,
                           std::function<std::optional<std::string>(const std::string &)> addressOf,
                           const RelayOptions &options)
    : impl_(std::make_shared<Impl>(context, std::move(addressOf), options))
{ }

RelayService::~RelayService()
{
    impl_->close();
}

void RelayService::serve(const std::shared_ptr<net::HeadConnection> &connection)
{
    impl_->serve(connection);
}

void RelayService::setFaultFinder(FaultFinder finder)
{
    impl_->setFaultFinder(std::move(finder));
}

void RelayService::setAccepting(bool accepting)
{
    impl_->setAccepting(accepting);
}

std::size_t RelayService::connections() const
{
    return impl_->connections();
}

std::size_t RelayService::busyConnections() const
{
    return impl_->busyConnections();
}

} // namespace zinniadoor::gateway
