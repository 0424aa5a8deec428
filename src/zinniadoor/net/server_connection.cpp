#include "server_connection.hpp"

#include <boost/asio/write.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/error.hpp>

#include "absl/strings/str_cat.h"

#include "zinniadoor/base/events.hpp"

namespace zinniadoor::net {

namespace {

using ErrorCode = boost::system::error_code;
using tcp = boost::asio::ip::tcp;

void appendField(std::string &out, boost::beast::string_view name, boost::beast::string_view value)
{
    out.append(name.data(), name.size());
    out.append(": ");
    out.append(value.data(), value.size());
    out.append("\r\n");
}

std::string formatHead(const ResponseHead &head, bool keepAlive)
{
    std::string text = absl::StrCat("HTTP/1.1 ", head.result_int(), " ");
    const auto reason
        = head.reason().empty() ? http::obsolete_reason(head.result()) : head.reason();
    text.append(reason.data(), reason.size());
    text.append("\r\n");
    for (const auto &field : head) {
        const auto name = field.name();
        if (name != http::field::connection && name != http::field::keep_alive
            && name != http::field::transfer_encoding && name != http::field::content_length)
            appendField(text, field.name_string(), field.value());
    }
    if (!keepAlive)
        text.append("Connection: close\r\n");
    return text;
}

Response textResponse(http::status status, const char *text)
{
    Response answer(status, 11);
    answer.set(http::field::content_type, "text/plain");
    answer.body() = text;
    return answer;
}

/// Responder of one request. It does not keep the connection alive.
class ConnectionResponder : public Responder
{
public:
    ConnectionResponder(std::weak_ptr<ServerConnection> connection, std::uint64_t number)
        : connection_(std::move(connection))
        , number_(number)
    { }
    void answer(Response answer) override
    {
        if (const auto connection = connection_.lock())
            connection->answer(number_, std::move(answer));
    }
    void begin(const ResponseHead &head) override
    {
        if (const auto connection = connection_.lock())
            connection->begin(number_, head);
    }
    void send(std::string_view bytes) override
    {
        if (const auto connection = connection_.lock())
            connection->send(number_, bytes);
    }
    void finish() override
    {
        if (const auto connection = connection_.lock())
            connection->finish(number_);
    }
    void abort() override
    {
        if (const auto connection = connection_.lock())
            connection->abort(number_);
    }
    std::size_t pendingBytes() const override
    {
        const auto connection = connection_.lock();
        return connection ? connection->pendingBytes() : 0;
    }
    void keepUntilSent(const std::shared_ptr<void> &kept) override
    {
        if (const auto connection = connection_.lock())
            connection->keepUntilSent(number_, kept);
    }
    void onClosed(std::function<void()> closed) override
    {
        if (const auto connection = connection_.lock())
            connection->onClosed(number_, std::move(closed));
    }
    void onDrained(std::function<void()> drained) override
    {
        if (const auto connection = connection_.lock())
            connection->onDrained(number_, std::move(drained));
    }

private:
    std::weak_ptr<ServerConnection> connection_;
    std::uint64_t number_;
};

} // namespace

ServerConnection::ServerConnection(tcp::socket socket, std::weak_ptr<ConnectionHost> host,
                                   InboundBytes *inbound)
    : socket_(std::move(socket))
    , timer_(socket_.get_executor())
    , reader_(socket_)
    , inbound_(inbound)
    , host_(std::move(host))
{ }

void ServerConnection::start()
{
    ErrorCode ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
    readRequest();
}

void ServerConnection::setTimer(absl::Duration time)
{
    setTimer(std::chrono::steady_clock::now() + absl::ToChronoMilliseconds(time));
}

void ServerConnection::setTimer(std::chrono::steady_clock::time_point time)
{
    auto self = shared_from_this();
    timer_.expires_at(time);
    timer_.async_wait([self](ErrorCode error) {
        // A wait that has expired is not cancelled by setting the timer again.
        if (error || self->closed_ || self->awaitingResponse_
            || std::chrono::steady_clock::now() < self->timer_.expiry())
            return;
        if (self->inbound_.isWaiting())
            self->refuseForMemory(InboundRefusal::NoRoom);
        else if (self->requestStarted_)
            self->reject(boost::beast::error::timeout);
        else
            self->onIdleTimeout();
    });
}

// The limit may have been raised since the timer was set. A lowered one does not shorten the time
// of connections that are idle already: their clients may still count on the old one.
void ServerConnection::onIdleTimeout()
{
    const auto host = host_.lock();
    if (!host || lingering_) {
        close();
        return;
    }
    if (peekInput() == Input::Bytes) // A request has arrived: `waitForRequest` reads it.
        return;
    if (host->draining()) {
        close();
        return;
    }
    const auto deadline = idleSince_ + absl::ToChronoMilliseconds(host->limits().idleTimeout);
    if (std::chrono::steady_clock::now() < deadline)
        setTimer(deadline);
    else
        close();
}

void ServerConnection::readRequest()
{
    const auto host = host_.lock();
    if (!host || !host->handler()) {
        close();
        return;
    }
    ++number_;
    requestStarted_ = false;
    awaitingResponse_ = false;
    responseComplete_ = false;
    headSent_ = false;
    idleSince_ = std::chrono::steady_clock::now();
    setTimer(host->limits().idleTimeout);
    waitForRequest();
}

// The first byte of a request ends the idle timeout and starts the request timeout. The limits of
// that moment apply, not those of the time when the connection became idle.
void ServerConnection::waitForRequest()
{
    auto self = shared_from_this();
    socket_.async_wait(tcp::socket::wait_read, [self](ErrorCode error) {
        if (self->closed_)
            return;
        const auto host = self->host_.lock();
        if (error || !host) {
            self->close();
            return;
        }
        self->requestStarted_ = true;
        const ServerLimits &limits = host->limits();
        self->maxBodyBytes_ = limits.maxBodyBytes;
        self->reader_.begin({ limits.maxHeadBytes, limits.maxBodyBytes });
        self->setTimer(limits.requestTimeout);
        self->readHead();
    });
}

void ServerConnection::readHead()
{
    auto self = shared_from_this();
    reader_.readHead([self](ErrorCode error) { self->onHeadRead(error); });
}

void ServerConnection::onHeadRead(ErrorCode error)
{
    if (closed_ || rejected_) // Rejected by the request timeout.
        return;
    if (error) {
        reject(error);
        return;
    }
    const auto &head = reader_.parser()->get();
    const auto expect = head.find(http::field::expect);
    const bool expectsContinue
        = expect != head.end() && boost::beast::iequals(expect->value(), "100-continue");
    if (expectsContinue)
        write("HTTP/1.1 100 Continue\r\n\r\n");
    readBody();
}

// Reads no byte of the body for which there is no room: the client has to wait.
void ServerConnection::readBody()
{
    auto self = shared_from_this();
    if (!inbound_.hasOwner() || reader_.parser()->is_done() || reachesBodyLimit())
        reader_.readMessage([self](ErrorCode error) { self->onBodyRead(error); });
    else if (reserveBody())
        reader_.readBodyUpTo(bodyTarget_, [self](ErrorCode error) { self->onBodyRead(error); });
}

// A body that is announced, or found, to be too long is rejected by the parser: there is no memory
// to reserve for it.
bool ServerConnection::reachesBodyLimit()
{
    const auto length = reader_.parser()->content_length();
    return length ? *length > maxBodyBytes_
                  : reader_.parser()->get().body().size() >= maxBodyBytes_;
}

bool ServerConnection::reserveBody()
{
    const auto length = reader_.parser()->content_length();
    bodyTarget_ = length
        ? static_cast<std::size_t>(*length)
        : InboundBody::nextTarget(reader_.parser()->get().body().size(), maxBodyBytes_);
    const std::weak_ptr<ServerConnection> weak = weak_from_this();
    const auto actions = [weak] {
        const auto call = [weak](void (*action)(ServerConnection &)) {
            const auto self = weak.lock();
            if (self && !self->closed_)
                action(*self);
        };
        return InboundActions {
            [call] { call([](ServerConnection &self) { self.readBody(); }); },
            [call] {
                call([](ServerConnection &self) { self.refuseForMemory(InboundRefusal::Memory); });
            },
            [weak] {
                const auto self = weak.lock();
                const auto *parser = self ? self->reader_.parser() : nullptr;
                return parser ? parser->get().body().size() : 0;
            },
        };
    };
    if (!inbound_.reserve(bodyTarget_, actions))
        return false;
    try {
        reader_.reserveBody(bodyTarget_);
    } catch (const std::exception &) { // The address space may be limited.
        refuseForMemory(InboundRefusal::NoRoom);
        return false;
    }
    return true;
}

// A body that is not whole has not reached the handler: the request was not run.
void ServerConnection::refuseForMemory(InboundRefusal refusal)
{
    if (awaitingResponse_ || rejected_)
        return;
    inbound_.noteRefusal(refusal);
    Response answer = textResponse(http::status::service_unavailable,
                                   "there is no memory for the body of the request");
    answer.set(http::field::retry_after, "1");
    rejectWith(std::move(answer));
}

void ServerConnection::onBodyRead(ErrorCode error)
{
    if (closed_ || rejected_)
        return;
    if (error) {
        reject(error);
        return;
    }
    if (!reader_.parser()->is_done()) {
        readBody();
        return;
    }
    inbound_.noteComplete();
    const auto host = host_.lock();
    if (!host || !host->handler()) {
        close();
        return;
    }
    if (peekInput() == Input::Closed) { // The event loop was behind: the client has left.
        close();
        return;
    }
    timer_.cancel();
    if (pipelined_) {
        rejectWith(textResponse(http::status::service_unavailable,
                                "the request came before the end of the previous response"));
        return;
    }
    // Bytes that follow the request may be a smuggled request: they are discarded with the
    // connection.
    keepAlive_ = reader_.parser()->keep_alive() && reader_.bufferedBytes() == 0;
    awaitingResponse_ = true;
    watchForDisconnect();
    handleRequest(*host->handler());
}

// What the handler makes of a request may throw; the requests of other clients must not be lost
// with it.
void ServerConnection::handleRequest(RequestHandler &handler)
{
    try {
        auto message = reader_.release();
        reader_.releaseMemory();
        handler.onRequest(Request(std::move(message.base()), std::move(message.body())),
                          std::make_shared<ConnectionResponder>(weak_from_this(), number_));
    } catch (const std::exception &error) {
        base::logEvent(base::EventId::EventHandlerFailed, { { "reason", error.what() } });
        if (headSent_ || responseComplete_)
            close();
        else
            rejectWith(textResponse(http::status::internal_server_error,
                                    "the request could not be processed"));
    }
}

void ServerConnection::reject(ErrorCode error)
{
    if (!requestStarted_ || error == http::error::end_of_stream
        || error.category() == boost::asio::error::get_system_category()) {
        close();
        return;
    }
    Response answer;
    if (error == http::error::header_limit || error == http::error::buffer_overflow)
        answer
            = textResponse(http::status::request_header_fields_too_large, "the head is too long");
    else if (error == http::error::body_limit)
        answer = textResponse(http::status::payload_too_large, "the body is too long");
    else if (error == boost::beast::error::timeout)
        answer = textResponse(http::status::request_timeout, "the request did not arrive in time");
    else
        answer = textResponse(http::status::bad_request, "not a valid HTTP request");
    rejectWith(std::move(answer));
}

void ServerConnection::rejectWith(Response answer)
{
    keepAlive_ = false;
    awaitingResponse_ = true;
    rejected_ = true;
    reader_.stop();
    inbound_.reset();
    this->answer(number_, std::move(answer));
}

// While a response is pending, the socket becomes readable when the client disconnects or sends
// more bytes. TCP does not tell a client that has closed its connection from one that has closed
// its sending side only; both count as having left, so that no endpoint works for the former.
void ServerConnection::watchForDisconnect()
{
    auto self = shared_from_this();
    const std::uint64_t number = number_;
    socket_.async_wait(tcp::socket::wait_read, [self, number](ErrorCode error) {
        if (error || self->closed_ || !self->isCurrent(number))
            return;
        switch (self->peekInput()) {
        case Input::None:
            self->watchForDisconnect();
            break;
        case Input::Closed:
            if (!self->responseComplete_) // Otherwise writing fails if the client has left.
                self->close();
            break;
        case Input::Bytes:
            self->onBytesBeforeResponseSent();
            break;
        }
    });
}

// Bytes that come before the end of the response may be a smuggled request. The head of the
// response tells the client that they are not handled. Once it has said otherwise, they get an
// answer: a client cannot tell a request that was discarded from one that was lost.
void ServerConnection::onBytesBeforeResponseSent()
{
    if (responseComplete_) // Only its writing is not complete: the next request.
        return;
    if (headSent_)
        pipelined_ = true;
    else
        keepAlive_ = false;
}

ServerConnection::Input ServerConnection::peekInput()
{
    ErrorCode error;
    char byte = 0;
    const std::size_t got
        = socket_.receive(boost::asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    if (error == boost::asio::error::would_block)
        return Input::None;
    return error || got == 0 ? Input::Closed : Input::Bytes;
}

void ServerConnection::answer(std::uint64_t number, Response answer)
{
    if (!isCurrent(number))
        return;
    if (const auto host = host_.lock())
        keepAlive_ = keepAlive_ && !host->draining();
    std::string text = formatHead(answer.base(), keepAlive_);
    absl::StrAppend(&text, "Content-Length: ", answer.body().size(), "\r\n\r\n", answer.body());
    responseComplete_ = true;
    write(std::move(text));
}

void ServerConnection::begin(std::uint64_t number, const ResponseHead &head)
{
    if (!isCurrent(number))
        return;
    if (const auto host = host_.lock())
        keepAlive_ = keepAlive_ && !host->draining();
    headSent_ = true;
    write(formatHead(head, keepAlive_) + "Transfer-Encoding: chunked\r\n\r\n");
}

void ServerConnection::send(std::uint64_t number, std::string_view bytes)
{
    if (!isCurrent(number) || bytes.empty())
        return;
    write(absl::StrCat(absl::Hex(bytes.size()), "\r\n",
                       absl::string_view(bytes.data(), bytes.size()), "\r\n"));
}

void ServerConnection::finish(std::uint64_t number)
{
    if (!isCurrent(number))
        return;
    responseComplete_ = true;
    write("0\r\n\r\n");
}

void ServerConnection::abort(std::uint64_t number)
{
    if (!isCurrent(number))
        return;
    closedCallback_ = nullptr;
    close();
}

void ServerConnection::keepUntilSent(std::uint64_t number, const std::shared_ptr<void> &kept)
{
    if (isCurrent(number))
        kept_ = kept;
}

void ServerConnection::onClosed(std::uint64_t number, std::function<void()> closed)
{
    if (isCurrent(number))
        closedCallback_ = std::move(closed);
}

void ServerConnection::onDrained(std::uint64_t number, std::function<void()> drained)
{
    if (isCurrent(number))
        drainedCallback_ = std::move(drained);
}

void ServerConnection::write(std::string bytes)
{
    pendingBytes_ += bytes.size();
    writeQueue_.push_back(std::move(bytes));
    if (!writing_)
        writeNext();
}

void ServerConnection::writeNext()
{
    if (writeQueue_.empty()) {
        if (responseComplete_) {
            onResponseSent();
        } else if (drainedCallback_) {
            const auto drained = drainedCallback_;
            drained();
        }
        return;
    }
    writing_ = true;
    auto self = shared_from_this();
    auto text = std::make_shared<std::string>(std::move(writeQueue_.front()));
    writeQueue_.pop_front();
    for (const std::string &part : writeQueue_)
        text->append(part);
    writeQueue_.clear();
    writeProgressAt_ = std::chrono::steady_clock::now();
    const auto noteProgress = [self, rest = boost::asio::transfer_all()](
                                  const ErrorCode &error, std::size_t written) mutable {
        if (written > 0)
            self->writeProgressAt_ = std::chrono::steady_clock::now();
        return rest(error, written);
    };
    boost::asio::async_write(socket_, boost::asio::buffer(*text), noteProgress,
                             [self, text](ErrorCode error, std::size_t) {
                                 self->writing_ = false;
                                 if (self->closed_)
                                     return;
                                 self->pendingBytes_ -= text->size();
                                 if (error)
                                     self->close();
                                 else
                                     self->writeNext();
                             });
}

void ServerConnection::onResponseSent()
{
    awaitingResponse_ = false;
    responseComplete_ = false;
    requestStarted_ = false;
    kept_.reset();
    inbound_.reset();
    closedCallback_ = nullptr;
    drainedCallback_ = nullptr;
    if (!keepAlive_) {
        // Closing with unread input makes the kernel send a reset, which could discard the response
        // before the client has read it.
        ErrorCode ignored;
        socket_.shutdown(tcp::socket::shutdown_send, ignored);
        lingerThenClose();
        return;
    }
    ErrorCode ignored;
    socket_.cancel(ignored); // Cancels the wait of `watchForDisconnect`.
    readRequest();
}

void ServerConnection::lingerThenClose()
{
    constexpr absl::Duration LingerTime = absl::Milliseconds(500); // Several round trips.
    lingering_ = true;
    setTimer(LingerTime);
    auto scratch = std::make_shared<std::array<char, 4096>>();
    discardInput(scratch);
}

void ServerConnection::discardInput(const std::shared_ptr<std::array<char, 4096>> &scratch)
{
    auto self = shared_from_this();
    socket_.async_read_some(boost::asio::buffer(*scratch),
                            [self, scratch](ErrorCode error, std::size_t) {
                                if (self->closed_)
                                    return;
                                if (error)
                                    self->close();
                                else
                                    self->discardInput(scratch);
                            });
}

bool ServerConnection::hasRequest()
{
    return requestStarted_ || (!closed_ && !lingering_ && peekInput() == Input::Bytes);
}

void ServerConnection::drain(absl::Duration idleGrace)
{
    if (!requestStarted_ && !closed_ && !lingering_)
        setTimer(idleGrace);
}

void ServerConnection::closeIfStalled(absl::Duration limit)
{
    const auto stalled = std::chrono::steady_clock::now() - writeProgressAt_;
    if (writing_ && stalled >= absl::ToChronoMilliseconds(limit))
        close();
}

void ServerConnection::close()
{
    if (closed_)
        return;
    closed_ = true;
    timer_.cancel();
    ErrorCode ignored;
    socket_.close(ignored);
    const auto closed = std::move(closedCallback_);
    closedCallback_ = nullptr;
    drainedCallback_ = nullptr;
    kept_.reset();
    inbound_.reset();
    if (const auto host = host_.lock())
        host->onClosed(this);
    if (closed)
        closed();
}

} // namespace zinniadoor::net
