#include "client_connection.hpp"

#include <algorithm>
#include <functional>
#include <limits>
#include <sstream>

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/write.hpp>

#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"

#include "acknowledged_bytes.hpp"
#include "relay_handshake.hpp"
#include "zinniadoor/base/events.hpp"
#include "zinniadoor/net/address.hpp"

namespace zinniadoor::net {

namespace {

using ErrorCode = boost::system::error_code;
using UserTimeout = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

/// Far above any response: flow control by the reader bounds memory use, not the response length.
constexpr std::uint64_t MaxResponseBytes = std::numeric_limits<std::uint32_t>::max();

/// Least and greatest status, that of interim responses included.
constexpr unsigned MinStatus = 100;
constexpr unsigned MaxStatus = 599;

/// Interim responses (1xx) to one request before the call fails.
constexpr int MaxInterimResponses = 16;

/// Largest body of a response to another request that is skipped.
constexpr std::size_t MaxSkippedBytes = std::size_t { 1024 } * 1024;

/// Share of the server's announced keep-alive timeout for which an idle connection is reused. It is
/// below 1 because the server may close the connection while a request is on its way.
constexpr double KeepAliveShare = 0.6;

/// Responses to other requests skipped on one connection before the call fails.
constexpr int MaxSkippedResponses = 4;

/// Identities remembered for one connection, which is not reused afterwards.
constexpr std::size_t MaxCarriedIdentities = 1024;

/// Equal hashes of different identities only cost a connection.
std::size_t hashOf(const std::string &identity)
{
    return std::hash<std::string>()(identity);
}

} // namespace

ClientConnection::ClientConnection(boost::asio::io_context &context,
                                   std::weak_ptr<ConnectionOwner> owner, CallTarget target,
                                   const HttpClientOptions &options)
    : socket_(context)
    , timer_(context)
    , reader_(socket_)
    , owner_(std::move(owner))
    , target_(std::move(target))
    , clientOptions_(options)
{ }

void ClientConnection::run(Request request, CallOptions options,
                           std::shared_ptr<CallHandler> handler)
{
    ++callNumber_;
    request_ = std::make_shared<Request>(std::move(request));
    options_ = std::move(options);
    handler_ = std::move(handler);
    if (!options_.identity.empty())
        carriedIdentities_.push_back(hashOf(options_.identity));
    sendStarted_ = false;
    requestSent_ = false;
    interimResponses_ = 0;
    paused_ = false;
    starting_ = true;
    if (connected_) {
        ErrorCode ignored;
        socket_.cancel(ignored); // Cancels the wait of `watchIdleConnection`.
        send();
    } else {
        connect();
    }
    starting_ = false;
}

void ClientConnection::connect()
{
    const auto endpoint = parseEndpoint(target_.relay.empty() ? target_.address : target_.relay);
    if (!endpoint) {
        fail(CallError::ConnectFailed, endpoint.lastReason().text);
        return;
    }
    ErrorCode error;
    socket_.open(endpoint->protocol(), error);
    if (error) { // No descriptor is left.
        isLocalFailure_ = true;
        fail(CallError::ConnectFailed, error.message());
        return;
    }
    socket_.set_option(boost::asio::ip::tcp::no_delay(true), error);
    setUnackedTimeout(clientOptions_.unackedTimeout);
    auto self = shared_from_this();
    timer_.expires_after(absl::ToChronoMilliseconds(options_.connectTimeout));
    timer_.async_wait([self](ErrorCode waited) {
        if (!waited && !self->connected_)
            self->fail(CallError::ConnectFailed, "connect timeout");
    });
    socket_.async_connect(*endpoint, [self](ErrorCode connectError) {
        if (self->closed_)
            return;
        if (connectError) {
            self->timer_.cancel();
            self->isLocalFailure_ = connectError == boost::asio::error::no_buffer_space
                || connectError == boost::system::errc::address_not_available;
            self->fail(CallError::ConnectFailed, connectError.message());
            return;
        }
        if (self->target_.relay.empty()) {
            self->onConnected();
            return;
        }
        requestRelay(self->socket_, self->target_.peer, [self](const RelayAnswer &answer) {
            if (self->closed_)
                return;
            if (answer.fault.empty()) {
                self->endIsShown_ = answer.sendsFrames;
                if (answer.sendsFrames)
                    self->reader_.expectFrames();
                self->onConnected();
                return;
            }
            self->timer_.cancel();
            self->relayCannotConnect_ = answer.cannotConnect;
            self->fail(CallError::ConnectFailed, answer.fault);
        });
    });
}

void ClientConnection::onConnected()
{
    timer_.cancel();
    connected_ = true;
    send();
}

void ClientConnection::setUnackedTimeout(absl::Duration timeout)
{
    if (unackedTimeout_ == timeout)
        return;
    unackedTimeout_ = timeout;
    ErrorCode ignored;
    socket_.set_option(UserTimeout(static_cast<int>(absl::ToInt64Milliseconds(timeout))), ignored);
}

void ClientConnection::watchAcknowledgement()
{
    auto self = shared_from_this();
    const std::uint64_t call = callNumber_;
    timer_.expires_after(absl::ToChronoMilliseconds(clientOptions_.unackedTimeout));
    timer_.async_wait([self, call](ErrorCode error) {
        if (error || self->callNumber_ != call || !self->handler_)
            return;
        const auto handler = self->handler_;
        if (hasUnacknowledgedBytes(self->socket_.native_handle()))
            handler->onUnacknowledged();
    });
}

void ClientConnection::send()
{
    setUnackedTimeout(options_.unackedTimeout.value_or(clientOptions_.unackedTimeout));
    if (options_.unackedTimeout)
        watchAcknowledgement();
    acknowledgedAtSend_ = acknowledgedBytes(socket_.native_handle());
    if (options_.mayWrite) {
        std::ostringstream text;
        text << *request_;
        unsentRequest_ = text.str();
        writeWhilePermitted();
        if (handler_)
            readHead();
        return;
    }
    sendStarted_ = true;
    auto self = shared_from_this();
    const std::shared_ptr<Request> request = request_;
    const std::uint64_t call = callNumber_;
    // A write error is not reported here: the response may have arrived before the connection
    // broke, and the read reports the failure otherwise.
    http::async_write(socket_, *request, [self, request, call](ErrorCode error, std::size_t) {
        if (!error && self->callNumber_ == call)
            self->requestSent_ = true;
    });
    readHead();
}

// Checks the permission before each write: it may have expired while the process was suspended or
// the send buffer was full.
void ClientConnection::writeWhilePermitted()
{
    ErrorCode error;
    socket_.non_blocking(true, error);
    while (!unsentRequest_.empty()) {
        if (!options_.mayWrite()) {
            fail(CallError::PermissionRevoked, "the permission to send was revoked");
            return;
        }
        const std::size_t written = socket_.write_some(boost::asio::buffer(unsentRequest_), error);
        sendStarted_ = sendStarted_ || written > 0;
        unsentRequest_.erase(0, written);
        if (error == boost::asio::error::would_block) {
            auto self = shared_from_this();
            const std::uint64_t call = callNumber_;
            socket_.async_wait(boost::asio::ip::tcp::socket::wait_write,
                               [self, call](ErrorCode waited) {
                                   if (!waited && self->callNumber_ == call && self->handler_)
                                       self->writeWhilePermitted();
                               });
            return;
        }
        if (error)
            return; // As in `send`, the read reports the failure.
    }
    requestSent_ = true;
}

// What a handler makes of the bytes of a response may throw; the responses of other calls must not
// be lost with it.
template <typename Step>
void ClientConnection::guard(Step step)
{
    try {
        step();
    } catch (const std::exception &error) {
        base::logEvent(base::EventId::EventHandlerFailed,
                       { { "peer", target_.address }, { "reason", error.what() } });
        fail(CallError::Malformed, error.what());
    }
}

void ClientConnection::readHead()
{
    reader_.begin({ clientOptions_.maxHeadBytes, MaxResponseBytes });
    if (request_->method() == http::verb::head)
        reader_.parser()->skip(true);
    auto self = shared_from_this();
    reader_.readHead([self](ErrorCode error) { self->guard([&] { self->onHeadRead(error); }); });
}

void ClientConnection::onHeadRead(ErrorCode error)
{
    if (closed_ || !handler_)
        return;
    if (error) {
        const bool lost = error.category() == boost::asio::error::get_system_category()
            || error.category() == boost::asio::error::get_misc_category()
            || error == http::error::end_of_stream || error == http::error::partial_message;
        fail(lost ? CallError::ConnectionLost : CallError::Malformed, error.message());
        return;
    }
    const ResponseHead &head = reader_.parser()->get().base();
    if (head.result_int() < MinStatus || head.result_int() > MaxStatus) {
        fail(CallError::Malformed, "invalid status");
        return;
    }
    if (head.result_int() < 200) { // The final response follows.
        if (++interimResponses_ > MaxInterimResponses)
            fail(CallError::Malformed, "too many interim responses");
        else
            readHead();
        return;
    }
    if (options_.matchesCall && !options_.matchesCall(head)) {
        startSkipping();
        return;
    }
    if (hasServedCall_ && options_.isAmbiguous && options_.isAmbiguous(head)) {
        fail(CallError::Ambiguous, "the response may repeat an earlier one");
        return;
    }
    updateIdleDeadline(head);
    const auto handler = handler_;
    const std::uint64_t call = callNumber_;
    handler->onHead(head);
    if (closed_ || callNumber_ != call || handler_ != handler)
        return;
    deliverBody();
}

void ClientConnection::startSkipping()
{
    skippedBytes_ = 0;
    if (++skippedResponses_ > MaxSkippedResponses)
        fail(CallError::Malformed, "too many responses to other requests");
    else if (reader_.parser()->need_eof())
        fail(CallError::ConnectionLost, "connection lost after a response to another request");
    else
        skipResponse();
}

void ClientConnection::skipResponse()
{
    if (reader_.parser()->is_done()) {
        readHead();
        return;
    }
    auto self = shared_from_this();
    reader_.readBody([self](ErrorCode error) {
        if (self->closed_ || !self->handler_)
            return;
        self->skippedBytes_ += self->reader_.takeBody().size();
        if (error)
            self->fail(CallError::ConnectionLost,
                       "connection lost after a response to another request");
        else if (self->skippedBytes_ > MaxSkippedBytes)
            self->fail(CallError::Malformed, "a response to another request is too long");
        else
            self->skipResponse();
    });
}

void ClientConnection::deliverBody()
{
    std::string bytes = reader_.takeBody();
    const auto handler = handler_;
    const std::uint64_t call = callNumber_;
    if (!bytes.empty()) {
        handler->onBody(std::move(bytes));
        if (closed_ || callNumber_ != call || handler_ != handler)
            return;
    }
    if (reader_.parser()->is_done()) {
        // A failed write takes the error of a reset from the socket: the read then sees an end.
        if (reader_.parser()->need_eof() && !requestSent_)
            fail(CallError::ConnectionLost, "connection ended before the request was sent");
        else if (reader_.parser()->need_eof() && !endIsShown_)
            fail(CallError::ConnectionLost, "the relay may have ended the connection");
        else
            finishResponse();
        return;
    }
    if (!paused_)
        readBody();
}

void ClientConnection::readBody()
{
    if (reading_)
        return;
    reading_ = true;
    auto self = shared_from_this();
    reader_.readBody([self](ErrorCode error) {
        self->reading_ = false;
        if (self->closed_ || !self->handler_)
            return;
        if (error) {
            self->fail(CallError::ConnectionLost, error.message());
            return;
        }
        self->guard([&] { self->deliverBody(); });
    });
}

void ClientConnection::finishResponse()
{
    timer_.cancel();
    const auto handler = std::move(handler_);
    handler_.reset();
    // If the response ended before the request was fully sent, the rest of the request would be
    // read as the start of the next one.
    const bool reusable = requestSent_ && request_->keep_alive()
        && reader_.parser()->get().keep_alive() && reader_.bufferedBytes() == 0
        && !reader_.parser()->need_eof() && !reader_.hasEnded();
    hasServedCall_ = true;
    if (reusable) {
        reader_.releaseMemory();
        watchIdleConnection();
        if (const auto owner = owner_.lock())
            owner->onReusable(shared_from_this());
    } else {
        close();
    }
    handler->onEnd();
}

void ClientConnection::watchIdleConnection()
{
    auto self = shared_from_this();
    const std::uint64_t call = callNumber_;
    // Data on an idle connection belongs to no call, and readability may also mean a close.
    socket_.async_wait(boost::asio::ip::tcp::socket::wait_read, [self, call](ErrorCode error) {
        if (!error && self->callNumber_ == call && !self->handler_)
            self->close();
    });
}

void ClientConnection::updateIdleDeadline(const ResponseHead &head)
{
    absl::Duration limit = clientOptions_.idleLimit;
    const auto field = head.find(http::field::keep_alive);
    if (field != head.end()) {
        const absl::string_view text(field->value().data(), field->value().size());
        for (absl::string_view part : absl::StrSplit(text, ',')) {
            part = absl::StripAsciiWhitespace(part);
            int seconds = 0;
            if (absl::ConsumePrefix(&part, "timeout=") && absl::SimpleAtoi(part, &seconds))
                limit = std::min(limit, KeepAliveShare * absl::Seconds(seconds));
        }
    }
    idleUntil_ = std::chrono::steady_clock::now() + absl::ToChronoMilliseconds(limit);
}

bool ClientConnection::isUsable(std::chrono::steady_clock::time_point now) const
{
    if (!connected_ || closed_ || handler_ || now >= idleUntil_)
        return false;
    if (carriedIdentities_.size() >= MaxCarriedIdentities)
        return false;
    // The event loop may not have run the wait of `watchIdleConnection` yet.
    ErrorCode error;
    return reader_.bufferedBytes() == 0 && socket_.available(error) == 0;
}

bool ClientConnection::hasCarried(const std::string &identity) const
{
    return !identity.empty()
        && std::find(carriedIdentities_.begin(), carriedIdentities_.end(), hashOf(identity))
        != carriedIdentities_.end();
}

void ClientConnection::setPaused(bool paused)
{
    paused_ = paused;
    const auto *parser = reader_.parser();
    if (!paused_ && handler_ && parser && parser->is_header_done() && !parser->is_done())
        readBody();
}

void ClientConnection::cancel()
{
    handler_.reset();
    close();
}

void ClientConnection::close()
{
    if (closed_)
        return;
    closed_ = true;
    timer_.cancel();
    ErrorCode ignored;
    const bool isLate
        = options_.unackedTimeout && connected_ && hasUnacknowledgedBytes(socket_.native_handle());
    if ((options_.mayWrite && sendStarted_) || isLate) // Discards the send buffer.
        socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    socket_.close(ignored);
    if (const auto owner = owner_.lock())
        owner->onClosed(shared_from_this());
}

void ClientConnection::fail(CallError error, const std::string &text)
{
    if (starting_) { // The owner of the call does not know it yet.
        auto self = shared_from_this();
        const std::uint64_t call = callNumber_;
        boost::asio::post(timer_.get_executor(), [self, call, error, text] {
            if (self->callNumber_ == call && self->handler_)
                self->fail(error, text);
        });
        return;
    }
    const auto handler = std::move(handler_);
    handler_.reset();
    CallFailure failure;
    failure.error = error;
    failure.isLocal = isLocalFailure_;
    if (sendStarted_) {
        const auto acknowledged = acknowledgedBytes(socket_.native_handle());
        failure.reachedPeer
            = !acknowledged || !acknowledgedAtSend_ || *acknowledged > *acknowledgedAtSend_;
    }
    failure.sendStarted = sendStarted_;
    failure.onReusedConnection = hasServedCall_;
    failure.relay = target_.relay;
    failure.relayFailed
        = !target_.relay.empty() && error == CallError::ConnectFailed && !relayCannotConnect_;
    failure.text = text;
    close();
    if (handler)
        handler->onFailure(failure);
}

} // namespace zinniadoor::net
