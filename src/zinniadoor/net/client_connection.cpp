#include "client_connection.hpp"

#include <algorithm>
#include <limits>
#include <sstream>

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <boost/asio/ip/address.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"

#include "acknowledged_bytes.hpp"
#include "zinniadoor/net/address.hpp"

namespace zinniadoor::net {

namespace {

using ErrorCode = boost::system::error_code;
using UserTimeout = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

/// Answers are bounded by the reader's flow control, not by a length.
constexpr std::uint64_t MaxAnswerBytes = std::numeric_limits<std::uint32_t>::max();

/// Bytes read ahead of the parser. More is only asked for when a line of a chunk's head or of a
/// trailer does not end.
constexpr std::size_t MaxBufferedBytes = std::size_t { 256 } * 1024;

/// Interim answers (1xx) to one request before its connection is given up.
constexpr int MaxInterimAnswers = 16;

/// Longest answer to another request that is skipped.
constexpr std::size_t MaxSkippedBytes = std::size_t { 1024 } * 1024;

/// A kept connection is given up this share of the server's announced idle time early.
constexpr double IdleShare = 0.6;

/// Extra answers skipped before a connection is given up.
constexpr int MaxSkippedAnswers = 4;

} // namespace

ClientConnection::ClientConnection(boost::asio::io_context &context,
                                   std::weak_ptr<ConnectionOwner> owner, CallTarget target,
                                   const HttpClientOptions &options)
    : socket_(context)
    , timer_(context)
    , buffer_(MaxBufferedBytes)
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
    sendBegan_ = false;
    sendDone_ = false;
    interimAnswers_ = 0;
    paused_ = false;
    if (!connected_) {
        connect();
        return;
    }
    ErrorCode ignored;
    socket_.cancel(ignored); // Ends the idle watch.
    send();
}

void ClientConnection::connect()
{
    const auto endpoint = parseEndpoint(target_.address);
    if (!endpoint) {
        fail(CallError::ConnectFailed, endpoint.lastReason().text);
        return;
    }
    ErrorCode error;
    socket_.open(endpoint->protocol(), error);
    if (error) {
        fail(CallError::ConnectFailed, error.message());
        return;
    }
    socket_.set_option(boost::asio::ip::tcp::no_delay(true), error);
    socket_.set_option(
        UserTimeout(static_cast<int>(absl::ToInt64Milliseconds(clientOptions_.unackedTimeout))),
        error);
    auto self = shared_from_this();
    timer_.expires_after(absl::ToChronoMilliseconds(options_.connectTimeout));
    timer_.async_wait([self](ErrorCode waited) {
        if (!waited && !self->connected_)
            self->fail(CallError::ConnectFailed, "no connection in time");
    });
    socket_.async_connect(*endpoint, [self](ErrorCode connectError) {
        if (self->closed_)
            return;
        self->timer_.cancel();
        if (connectError) {
            self->fail(CallError::ConnectFailed, connectError.message());
            return;
        }
        self->connected_ = true;
        self->send();
    });
}

void ClientConnection::send()
{
    acknowledgedBefore_ = acknowledgedBytes(socket_.native_handle());
    if (options_.mayWrite) {
        std::ostringstream text;
        text << *request_;
        unwritten_ = text.str();
        writeWhileAllowed();
        if (handler_)
            readHead();
        return;
    }
    sendBegan_ = true;
    auto self = shared_from_this();
    const std::shared_ptr<Request> request = request_;
    const std::uint64_t call = callNumber_;
    // A failed write is left to the reader: the answer may have come before the connection broke.
    http::async_write(socket_, *request, [self, request, call](ErrorCode error, std::size_t) {
        if (!error && self->callNumber_ == call)
            self->sendDone_ = true;
    });
    readHead();
}

// Asks before each write: the process may have been frozen, or the buffer full, since the last one.
void ClientConnection::writeWhileAllowed()
{
    ErrorCode error;
    socket_.non_blocking(true, error);
    while (!unwritten_.empty()) {
        if (!options_.mayWrite()) {
            fail(CallError::PermissionRevoked, "the right to send has ended");
            return;
        }
        const std::size_t written = socket_.write_some(boost::asio::buffer(unwritten_), error);
        sendBegan_ = sendBegan_ || written > 0;
        unwritten_.erase(0, written);
        if (error == boost::asio::error::would_block) {
            auto self = shared_from_this();
            const std::uint64_t call = callNumber_;
            socket_.async_wait(boost::asio::ip::tcp::socket::wait_write,
                               [self, call](ErrorCode waited) {
                                   if (!waited && self->callNumber_ == call && self->handler_)
                                       self->writeWhileAllowed();
                               });
            return;
        }
        if (error)
            return; // Left to the reader: the answer may have come before the connection broke.
    }
    sendDone_ = true;
}

void ClientConnection::readHead()
{
    parser_.emplace();
    parser_->header_limit(static_cast<std::uint32_t>(clientOptions_.maxHeadBytes));
    parser_->body_limit(MaxAnswerBytes);
    if (request_->method() == http::verb::head)
        parser_->skip(true);
    auto self = shared_from_this();
    http::async_read_header(socket_, buffer_, *parser_,
                            [self](ErrorCode error, std::size_t) { self->onHeadRead(error); });
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
    const ResponseHead &head = parser_->get().base();
    if (head.result_int() < 200) { // The answer proper follows.
        if (++interimAnswers_ > MaxInterimAnswers)
            fail(CallError::Malformed, "too many interim answers");
        else
            readHead();
        return;
    }
    if (options_.matchesCall && !options_.matchesCall(head)) {
        beginSkipping();
        return;
    }
    noteKeepAlive(head);
    const auto handler = handler_;
    const std::uint64_t call = callNumber_;
    handler->onHead(head);
    if (closed_ || callNumber_ != call || handler_ != handler)
        return;
    deliverBody();
}

void ClientConnection::beginSkipping()
{
    skippedBytes_ = 0;
    if (++skippedAnswers_ > MaxSkippedAnswers)
        fail(CallError::Malformed, "too many answers to other requests");
    else if (parser_->need_eof())
        fail(CallError::ConnectionLost, "lost after an answer to another request");
    else
        skipAnswer();
}

void ClientConnection::skipAnswer()
{
    if (parser_->is_done()) {
        readHead();
        return;
    }
    auto self = shared_from_this();
    http::async_read_some(socket_, buffer_, *parser_, [self](ErrorCode error, std::size_t) {
        if (self->closed_ || !self->handler_)
            return;
        self->skippedBytes_ += self->parser_->get().body().size();
        self->parser_->get().body().clear();
        if (error)
            self->fail(CallError::ConnectionLost, "lost after an answer to another request");
        else if (self->skippedBytes_ > MaxSkippedBytes)
            self->fail(CallError::Malformed, "an answer to another request is too long");
        else
            self->skipAnswer();
    });
}

void ClientConnection::deliverBody()
{
    std::string bytes = std::move(parser_->get().body());
    parser_->get().body().clear();
    const auto handler = handler_;
    const std::uint64_t call = callNumber_;
    if (!bytes.empty()) {
        handler->onBody(std::move(bytes));
        if (closed_ || callNumber_ != call || handler_ != handler)
            return;
    }
    if (parser_->is_done()) {
        finishAnswer();
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
    http::async_read_some(socket_, buffer_, *parser_, [self](ErrorCode error, std::size_t) {
        self->reading_ = false;
        if (self->closed_ || !self->handler_)
            return;
        if (error) {
            self->fail(CallError::ConnectionLost, error.message());
            return;
        }
        self->deliverBody();
    });
}

void ClientConnection::finishAnswer()
{
    const auto handler = std::move(handler_);
    handler_.reset();
    // A request that was answered before it was sent whole leaves the connection out of step.
    const bool reusable
        = sendDone_ && parser_->get().keep_alive() && buffer_.size() == 0 && !parser_->need_eof();
    served_ = true;
    if (reusable) {
        watchIdle();
        if (const auto owner = owner_.lock())
            owner->onReusable(shared_from_this());
    } else {
        close();
    }
    handler->onEnd();
}

void ClientConnection::watchIdle()
{
    auto self = shared_from_this();
    const std::uint64_t call = callNumber_;
    // Whatever arrives on an idle connection answers no call of ours.
    socket_.async_wait(boost::asio::ip::tcp::socket::wait_read, [self, call](ErrorCode error) {
        if (!error && self->callNumber_ == call && !self->handler_)
            self->close();
    });
}

void ClientConnection::noteKeepAlive(const ResponseHead &head)
{
    absl::Duration limit = clientOptions_.idleLimit;
    const auto field = head.find(http::field::keep_alive);
    if (field != head.end()) {
        const absl::string_view text(field->value().data(), field->value().size());
        for (absl::string_view part : absl::StrSplit(text, ',')) {
            part = absl::StripAsciiWhitespace(part);
            int seconds = 0;
            if (absl::ConsumePrefix(&part, "timeout=") && absl::SimpleAtoi(part, &seconds))
                limit = std::min(limit, IdleShare * absl::Seconds(seconds));
        }
    }
    idleUntil_ = std::chrono::steady_clock::now() + absl::ToChronoMilliseconds(limit);
}

bool ClientConnection::isUsable(std::chrono::steady_clock::time_point now) const
{
    return connected_ && !closed_ && !handler_ && now < idleUntil_;
}

void ClientConnection::setPaused(bool paused)
{
    paused_ = paused;
    if (!paused_ && handler_ && parser_ && parser_->is_header_done() && !parser_->is_done())
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
    if (options_.mayWrite && sendBegan_ && !served_) // Drops what waits in the send buffer.
        socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    socket_.close(ignored);
    if (const auto owner = owner_.lock())
        owner->onClosed(shared_from_this());
}

void ClientConnection::fail(CallError error, const std::string &text)
{
    const auto handler = std::move(handler_);
    handler_.reset();
    CallFailure failure;
    failure.error = error;
    if (sendBegan_) {
        const auto acknowledged = acknowledgedBytes(socket_.native_handle());
        failure.reachedPeer
            = !acknowledged || !acknowledgedBefore_ || *acknowledged > *acknowledgedBefore_;
    }
    failure.sendStarted = sendBegan_;
    failure.onReusedConnection = served_;
    failure.text = text;
    close();
    if (handler)
        handler->onFailure(failure);
}

} // namespace zinniadoor::net
