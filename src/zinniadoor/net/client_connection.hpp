#pragma once

#include <chrono>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include "zinniadoor/net/http_client.hpp"

namespace zinniadoor::net {

class ClientConnection;

/// Where a connection goes when its call has ended.
class ConnectionOwner
{
public:
    virtual ~ConnectionOwner() = default;
    virtual void onReusable(const std::shared_ptr<ClientConnection> &connection) = 0;
    virtual void onClosed(const std::shared_ptr<ClientConnection> &connection) = 0;
};

/// One connection to a server, serving one call at a time.
class ClientConnection : public Call, public std::enable_shared_from_this<ClientConnection>
{
public:
    ClientConnection(boost::asio::io_context &context, std::weak_ptr<ConnectionOwner> owner,
                     CallTarget target, const HttpClientOptions &options);

    /// Connects first if need be.
    void run(Request request, CallOptions options, std::shared_ptr<CallHandler> handler);

    void cancel() override;
    void setPaused(bool paused) override;

    const CallTarget &target() const { return target_; }
    bool isUsable(std::chrono::steady_clock::time_point now) const;
    void close();

private:
    using Parser = http::response_parser<http::string_body>;

    void connect();
    void send();
    void writeWhileAllowed();
    void readHead();
    void onHeadRead(boost::system::error_code error);
    void beginSkipping();
    void skipAnswer();
    void readBody();
    void deliverBody();
    void finishAnswer();
    void watchIdle();
    void fail(CallError error, const std::string &text);
    void noteKeepAlive(const ResponseHead &head);

    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer timer_;
    boost::beast::flat_buffer buffer_;
    std::weak_ptr<ConnectionOwner> owner_;
    CallTarget target_;
    HttpClientOptions clientOptions_;
    std::optional<Parser> parser_;
    std::shared_ptr<Request> request_;
    std::string unwritten_; ///< Of a request that may only be written while it is allowed.
    CallOptions options_;
    std::shared_ptr<CallHandler> handler_;
    std::uint64_t callNumber_ = 0; ///< Tells handlers of an earlier call from the present one's.
    bool connected_ = false;
    bool closed_ = false;
    bool served_ = false;
    bool sendBegan_ = false;
    bool sendDone_ = false;
    bool paused_ = false;
    bool reading_ = false;
    std::optional<std::uint64_t> acknowledgedBefore_; ///< Of earlier calls and the handshake.
    int skippedAnswers_ = 0;
    std::size_t skippedBytes_ = 0; ///< Of the answer that is being skipped.
    int interimAnswers_ = 0; ///< To the present call.
    std::chrono::steady_clock::time_point idleUntil_;
};

} // namespace zinniadoor::net
