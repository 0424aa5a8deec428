#pragma once

#include <array>
#include <chrono>
#include <deque>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "inbound_body.hpp"
#include "message_reader.hpp"
#include "zinniadoor/net/http_server.hpp"

namespace zinniadoor::net {

class ServerConnection;

/// Interface of the server that its connections use.
class ConnectionHost
{
public:
    virtual ~ConnectionHost() = default;
    virtual const ServerLimits &limits() const = 0;
    virtual bool draining() const = 0;
    virtual RequestHandler *handler() = 0; ///< Null once the server is closed.
    virtual void onClosed(ServerConnection *connection) = 0;
};

/// One client connection. Parses requests one at a time and writes their responses.
class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
    ServerConnection(boost::asio::ip::tcp::socket socket, std::weak_ptr<ConnectionHost> host,
                     InboundBytes *inbound = nullptr);

    void start();
    void close();

    /// Closes the connection after `idleGrace` unless a request starts before.
    void drain(absl::Duration idleGrace);

    /// Closes the connection if the client has accepted no byte of a response for `limit`.
    void closeIfStalled(absl::Duration limit);

    /// Whether a request has arrived, read or not, whose response is not complete.
    bool hasRequest();

    /// Whether it waits for a request of which no byte has been read.
    bool isIdle() const { return !requestStarted_ && !lingering_; }

    /// Called by the responder of request `number`; calls for earlier requests are ignored.
    void answer(std::uint64_t number, Response answer);
    void begin(std::uint64_t number, const ResponseHead &head);
    void send(std::uint64_t number, std::string_view bytes);
    void finish(std::uint64_t number);
    void abort(std::uint64_t number);
    std::size_t pendingBytes() const { return pendingBytes_; }
    void keepUntilSent(std::uint64_t number, const std::shared_ptr<void> &kept);
    void onClosed(std::uint64_t number, std::function<void()> closed);
    void onDrained(std::uint64_t number, std::function<void()> drained);

private:
    void readRequest();
    void waitForRequest();
    void readHead();
    void onHeadRead(boost::system::error_code error);
    void readBody();
    bool reachesBodyLimit();
    bool reserveBody();
    void refuseForMemory(InboundRefusal refusal);
    void onBodyRead(boost::system::error_code error);
    void handleRequest(RequestHandler &handler);
    void reject(boost::system::error_code error);
    void rejectWith(Response answer);
    /// Input that has not been read.
    enum class Input : std::uint8_t { None, Bytes, Closed };
    Input peekInput();
    void watchForDisconnect();
    void onBytesBeforeResponseSent();
    void write(std::string bytes);
    void writeNext();
    void onResponseSent();
    void lingerThenClose();
    void discardInput(const std::shared_ptr<std::array<char, 4096>> &scratch);
    void setTimer(absl::Duration time);
    void setTimer(std::chrono::steady_clock::time_point time);
    void onIdleTimeout();
    bool isCurrent(std::uint64_t number) const { return number == number_ && awaitingResponse_; }

    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer timer_;
    MessageReader<true> reader_;
    InboundBody inbound_;
    std::weak_ptr<ConnectionHost> host_;
    std::chrono::steady_clock::time_point idleSince_;
    std::deque<std::string> writeQueue_;
    std::size_t pendingBytes_ = 0;
    std::size_t bodyTarget_ = 0; ///< Bytes of the body for which there is room.
    std::size_t maxBodyBytes_ = 0; ///< Limit of the current request.
    std::uint64_t number_ = 0; ///< Number of the current request on this connection.
    bool requestStarted_ = false;
    bool awaitingResponse_
        = false; ///< The handler has the request and its response is not complete.
    bool headSent_ = false; ///< Of a response that is not complete.
    bool pipelined_ = false; ///< The next request came before the end of a response.
    bool keepAlive_ = true;
    bool writing_ = false;
    bool responseComplete_ = false;
    bool rejected_ = false; ///< A request was rejected; further input is discarded.
    bool lingering_ = false; ///< The last response was sent; further input is discarded.
    bool closed_ = false;
    std::chrono::steady_clock::time_point writeProgressAt_;
    std::shared_ptr<void> kept_; ///< Until the current response has been written.
    std::function<void()> closedCallback_;
    std::function<void()> drainedCallback_;
};

} // namespace zinniadoor::net
