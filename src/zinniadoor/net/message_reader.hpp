#pragma once

#include <algorithm>
#include <cstdint>
#include <exception>
#include <limits>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/buffer_traits.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>

#include "zinniadoor/net/relay_frames.hpp"

namespace zinniadoor::net {

namespace http = boost::beast::http;

namespace detail {

/// Body that takes the memory of the bytes received, not of the length that the head announces.
struct ReceivedBody
{
    using value_type = std::string; // NOLINT(readability-identifier-naming)

    static std::uint64_t size(const std::string &body) { return body.size(); }

    class reader // NOLINT(readability-identifier-naming)
    {
    public:
        template <bool IsRequest, typename Fields>
        reader(http::header<IsRequest, Fields> &, std::string &body)
            : body_(body)
        { }
        void init(const boost::optional<std::uint64_t> &, boost::system::error_code &error)
        {
            error = {};
        }
        template <typename Buffers>
        std::size_t put(const Buffers &buffers, boost::system::error_code &error)
        {
            error = {};
            std::size_t size = 0;
            for (const auto buffer : boost::beast::buffers_range_ref(buffers)) {
                body_.append(static_cast<const char *>(buffer.data()), buffer.size());
                size += buffer.size();
            }
            return size;
        }
        void finish(boost::system::error_code &error) { error = {}; }

    private:
        std::string &body_;
    };
};

} // namespace detail

/// Size limits of one message.
struct MessageLimits
{
    std::size_t maxHeadBytes = 0; ///< Of the head; about the same for a chunk header or a trailer.
    std::uint64_t maxBodyBytes = 0;
};

/// Reads the messages of one connection. Keeps at most `maxHeadBytes` plus one read of bytes that
/// are not parsed yet. An exception of the parser is an error of the message that caused it. The
/// handlers must keep the reader alive; they are not called before the functions return.
template <bool IsRequest>
class MessageReader
{
public:
    using ErrorCode = boost::system::error_code;
    using Parser = http::parser<IsRequest, detail::ReceivedBody>;

    explicit MessageReader(boost::asio::ip::tcp::socket &socket)
        : socket_(socket)
    { }

    /// Expects all bytes from now on in frames of a relay. The end of the connection is that of a
    /// message only if a frame says so.
    void expectFrames() { frames_.emplace(); }

    /// Whether a frame has shown the end of the connection.
    bool hasEnded() const { return frames_ && frames_->hasEnded(); }

    /// Prepares for the next message, whose first bytes may have been read already.
    void begin(const MessageLimits &limits)
    {
        error_ = {};
        stopped_ = false;
        buffer_.max_size(limits.maxHeadBytes + MaxReadBytes);
        parser_.emplace();
        parser_->header_limit(static_cast<std::uint32_t>(
            std::min<std::size_t>(limits.maxHeadBytes, std::numeric_limits<std::uint32_t>::max())));
        parser_->body_limit(limits.maxBodyBytes);
    }

    /// The message that is being read; null before `begin` and after `release`.
    Parser *parser() { return parser_ ? &*parser_ : nullptr; }

    /// Takes the body bytes read so far.
    std::string takeBody() { return std::exchange(parser_->get().body(), std::string()); }

    /// Ends the message and takes it.
    typename Parser::value_type release()
    {
        typename Parser::value_type message = parser_->release();
        parser_.reset();
        return message;
    }

    /// Number of bytes received and not parsed.
    std::size_t bufferedBytes() const { return buffer_.size(); }

    /// Frees the memory that large messages have needed.
    void releaseMemory()
    {
        if (buffer_.size() == 0 && buffer_.capacity() > MinReadBytes) {
            buffer_.shrink_to_fit();
            readBytes_ = MinReadBytes;
        }
    }

    /// Reads until the head is complete. `handler` is called with the error.
    template <typename Handler>
    void readHead(Handler handler)
    {
        read(Goal::Head, std::move(handler));
    }

    /// Reads until there are body bytes or the message is complete.
    template <typename Handler>
    void readBody(Handler handler)
    {
        read(Goal::SomeBody, std::move(handler));
    }

    /// Reads until there are `bytes` bytes of the body or the message is complete.
    template <typename Handler>
    void readBodyUpTo(std::size_t bytes, Handler handler)
    {
        bodyTarget_ = bytes;
        read(Goal::BodyUpToTarget, std::move(handler));
    }

    /// Allocates memory for a body of `bytes` bytes at once: growth by doubling would take up to
    /// three times the size while a part is copied.
    void reserveBody(std::size_t bytes) { parser_->get().body().reserve(bytes); }

    /// Frees the body and reads no further: a read in progress ends with an error.
    void stop()
    {
        stopped_ = true;
        if (parser_)
            std::string().swap(parser_->get().body());
    }

    /// Reads the rest of the message.
    template <typename Handler>
    void readMessage(Handler handler)
    {
        read(Goal::Message, std::move(handler));
    }

private:
    enum class Goal : std::uint8_t { Head, SomeBody, BodyUpToTarget, Message };

    /// Bytes of one read. It grows while the reads are full, as for long bodies.
    static constexpr std::size_t MinReadBytes = 512;
    static constexpr std::size_t MaxReadBytes = std::size_t { 16 } * 1024;
    static constexpr std::size_t ReadGrowth = 2;

    template <typename Handler>
    void read(Goal goal, Handler handler)
    {
        const auto error = parse(goal);
        if (!error) {
            receive(goal, std::move(handler));
            return;
        }
        boost::asio::post(
            socket_.get_executor(),
            [error = *error, handler = std::move(handler)]() mutable { handler(error); });
    }

    template <typename Handler>
    void receive(Goal goal, Handler handler)
    {
        if (hasEnded()) {
            boost::asio::post(
                socket_.get_executor(), [this, handler = std::move(handler)]() mutable {
                    handler(stopped_ ? ErrorCode(boost::asio::error::operation_aborted)
                                     : endOf(boost::asio::error::eof));
                });
            return;
        }
        const std::size_t room = buffer_.max_size() - std::min(buffer_.max_size(), buffer_.size());
        if (room == 0) {
            boost::asio::post(socket_.get_executor(), [handler = std::move(handler)]() mutable {
                handler(ErrorCode(http::error::buffer_overflow));
            });
            return;
        }
        const std::size_t size = std::min(room, readBytes_);
        const auto space = buffer_.prepare(size);
        socket_.async_read_some(
            space,
            [this, goal, size, space, handler = std::move(handler)](ErrorCode error,
                                                                    std::size_t received) mutable {
                if (stopped_) {
                    handler(ErrorCode(boost::asio::error::operation_aborted));
                    return;
                }
                if (!error) {
                    if (received == size)
                        readBytes_ = std::min(ReadGrowth * readBytes_, MaxReadBytes);
                    if (frames_)
                        received = frames_->extract(static_cast<char *>(space.data()), received);
                    buffer_.commit(received);
                } else if (frames_ && error == boost::asio::error::eof) {
                    error = boost::asio::error::connection_reset;
                }
                const auto parsed = error ? std::optional<ErrorCode>(endOf(error)) : parse(goal);
                if (parsed)
                    handler(*parsed);
                else
                    receive(goal, std::move(handler));
            });
    }

    /// Parses received bytes until `goal` is reached, or an error; nothing if it needs more bytes.
    std::optional<ErrorCode> parse(Goal goal)
    {
        if (isReached(goal))
            return ErrorCode();
        if (error_)
            return error_;
        ErrorCode error;
        try {
            parser_->eager(goal != Goal::Head);
            while (buffer_.size() > 0 && !error && !isReached(goal))
                buffer_.consume(parser_->put(buffer_.data(), error));
        } catch (const std::length_error &) { // A field is too long for the library.
            error = http::error::header_limit;
        } catch (const std::exception &) {
            error = http::error::bad_alloc;
        }
        // Bytes before an error still belong to the body.
        if (error && error != http::error::need_more)
            error_ = error;
        if (isReached(goal))
            return ErrorCode();
        if (error_)
            return error_;
        return std::nullopt;
    }

    bool isReached(Goal goal)
    {
        if (goal == Goal::Head)
            return parser_->is_header_done();
        if (goal == Goal::BodyUpToTarget && parser_->get().body().size() >= bodyTarget_)
            return true;
        return parser_->is_done() || (goal == Goal::SomeBody && !parser_->get().body().empty());
    }

    /// Outcome of a message at the end of the connection.
    ErrorCode endOf(ErrorCode error)
    {
        if (error != boost::asio::error::eof)
            return error;
        if (!parser_->got_some())
            return http::error::end_of_stream;
        ErrorCode outcome;
        parser_->put_eof(outcome);
        return outcome;
    }

    boost::asio::ip::tcp::socket &socket_;
    boost::beast::flat_buffer buffer_;
    std::optional<Parser> parser_;
    std::optional<RelayFrameReader> frames_;
    ErrorCode error_; ///< Of the message; reported after its body bytes.
    std::size_t readBytes_ = MinReadBytes;
    std::size_t bodyTarget_ = 0;
    bool stopped_ = false;
};

} // namespace zinniadoor::net
