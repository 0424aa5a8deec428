#pragma once

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "message_reader.hpp"
#include "zinniadoor/net/http_client.hpp"

namespace zinniadoor::net {

class ClientConnection;

/// Notified when a connection becomes idle or closes.
class ConnectionOwner
{
public:
    virtual ~ConnectionOwner() = default;
    virtual void onReusable(const std::shared_ptr<ClientConnection> &connection) = 0;
    virtual void onClosed(const std::shared_ptr<ClientConnection> &connection) = 0;
};

/// One connection to a server, used by one call at a time.
class ClientConnection : public Call, public std::enable_shared_from_this<ClientConnection>
{
public:
    ClientConnection(boost::asio::io_context &context, std::weak_ptr<ConnectionOwner> owner,
                     CallTarget target, const HttpClientOptions &options);

    /// Starts a call; connects first if not connected.
    void run(Request request, CallOptions options, std::shared_ptr<CallHandler> handler);

    void cancel() override;
    void setPaused(bool paused) override;

    const CallTarget &target() const { return target_; }
    /// Whether another call may start. False if bytes have arrived that belong to no call.
    bool isUsable(std::chrono::steady_clock::time_point now) const;

    /// Whether a call with this identity has been made; see `CallOptions::identity`.
    bool hasCarried(const std::string &identity) const;
    void close();

private:
    void connect();
    void onConnected();
    void send();
    void setUnackedTimeout(absl::Duration timeout);
    void watchAcknowledgement();
    void writeWhilePermitted();
    /// Fails the call if `step` throws.
    template <typename Step>
    void guard(Step step);
    void readHead();
    void onHeadRead(boost::system::error_code error);
    void startSkipping();
    void skipResponse();
    void readBody();
    void deliverBody();
    void finishResponse();
    void watchIdleConnection();
    void fail(CallError error, const std::string &text);
    void updateIdleDeadline(const ResponseHead &head);

    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer timer_;
    MessageReader<false> reader_;
    std::weak_ptr<ConnectionOwner> owner_;
    CallTarget target_;
    HttpClientOptions clientOptions_;
    std::shared_ptr<Request> request_;
    std::string unsentRequest_; ///< Rest of a request that has a `mayWrite` check.
    absl::Duration unackedTimeout_; ///< As set on the socket.
    CallOptions options_;
    std::shared_ptr<CallHandler> handler_;
    std::uint64_t callNumber_
        = 0; ///< Distinguishes callbacks of earlier calls from the current one's.
    bool isLocalFailure_ = false; ///< To connect.
    bool connected_ = false;
    bool relayCannotConnect_ = false; ///< The relay did not reach the destination.
    bool endIsShown_ = true; ///< The end of the connection is that of the server's.
    bool closed_ = false;
    bool starting_ = false; ///< `run` has not returned yet.
    bool hasServedCall_ = false;
    bool sendStarted_ = false;
    bool requestSent_ = false;
    bool paused_ = false;
    bool reading_ = false;
    std::optional<std::uint64_t>
        acknowledgedAtSend_; ///< Acknowledged byte count when the request was sent.
    std::vector<std::size_t> carriedIdentities_; ///< Hashes.
    int skippedResponses_ = 0;
    std::size_t skippedBytes_ = 0; ///< In the response being skipped.
    int interimResponses_ = 0; ///< In the current call.
    std::chrono::steady_clock::time_point idleUntil_;
};

} // namespace zinniadoor::net
