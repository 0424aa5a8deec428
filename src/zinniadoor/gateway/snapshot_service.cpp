#include "zinniadoor/gateway/snapshot_service.hpp"

#include <array>
#include <optional>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"

#include "zinniadoor/gateway/log_follower.hpp"

namespace zinniadoor::gateway {

namespace {

constexpr char LogsPath[] = "/logs/";
constexpr char PositionQuery[] = "?from=";

/// Transfers at a time: each receiver can hand the records on, so a few fast ones are better than
/// many slow ones.
constexpr int MaxTransfers = 4;

/// A receiver that takes longer is cut off.
constexpr std::chrono::seconds TransferTimeout(4);

struct SnapshotRequest
{
    LogName log = LogName::Configuration;
    LogPosition atLeast;
};

std::optional<SnapshotRequest> parseRequest(absl::string_view target)
{
    if (!absl::ConsumePrefix(&target, LogsPath))
        return std::nullopt;
    const std::vector<absl::string_view> parts = absl::StrSplit(target, PositionQuery);
    if (parts.size() != 2)
        return std::nullopt;
    const auto position = parsePosition({ parts[1].data(), parts[1].size() });
    if (!position)
        return std::nullopt;
    for (const LogName log : { LogName::Configuration, LogName::Endpoints }) {
        if (parts[0] == nameOf(log))
            return SnapshotRequest { log, *position };
    }
    return std::nullopt;
}

std::string positionText(LogPosition position)
{
    return absl::StrCat(position.era, ".", position.offset);
}

std::string headOf(const char *status, std::size_t bytes, const std::string &fields = "")
{
    return absl::StrCat("HTTP/1.1 ", status, "\r\nConnection: close\r\nContent-Length: ", bytes,
                        "\r\n", fields, "\r\n");
}

} // namespace

std::string snapshotTarget(LogName log, LogPosition atLeast)
{
    return absl::StrCat(LogsPath, nameOf(log), PositionQuery, positionText(atLeast));
}

std::optional<LogPosition> parsePosition(std::string_view text)
{
    const std::vector<absl::string_view> parts
        = absl::StrSplit(absl::string_view(text.data(), text.size()), '.');
    LogPosition position;
    if (parts.size() != 2 || !absl::SimpleAtoi(parts[0], &position.era)
        || !absl::SimpleAtoi(parts[1], &position.offset))
        return std::nullopt;
    return position;
}

struct SnapshotService::Transfer
{
    Transfer(boost::asio::io_context &context, std::shared_ptr<net::HeadConnection> receiver)
        : connection(std::move(receiver))
        , timer(context)
    { }
    ~Transfer()
    {
        if (counter)
            --*counter;
    }
    Transfer(const Transfer &) = delete;
    Transfer &operator=(const Transfer &) = delete;

    std::shared_ptr<net::HeadConnection> connection;
    boost::asio::steady_timer timer;
    std::string head;
    std::shared_ptr<const std::string> body;
    std::shared_ptr<int> counter; ///< Set for transfers of records.
};

void SnapshotService::serve(const std::shared_ptr<net::HeadConnection> &connection)
{
    const auto target = connection->head.target();
    const auto request = parseRequest({ target.data(), target.size() });
    const auto source = request ? sources_.find(request->log) : sources_.end();
    const SnapshotState state = source == sources_.end() ? SnapshotState::Absent
                                                         : source->second->state(request->atLeast);
    if (state == SnapshotState::Absent)
        send(connection, headOf("404 Not Found", 0), nullptr);
    else if (state == SnapshotState::Reading)
        send(connection, headOf("202 Accepted", 0), nullptr);
    else if (*transfers_ >= MaxTransfers)
        send(connection, headOf("503 Service Unavailable", 0), nullptr);
    else {
        const auto body = source->second->encoded();
        const std::string position = positionText(source->second->position());
        send(connection,
             headOf("200 OK", body->size(),
                    absl::StrCat(SnapshotPositionField, ": ", position, "\r\n")),
             body);
    }
}

void SnapshotService::send(const std::shared_ptr<net::HeadConnection> &connection, std::string head,
                           std::shared_ptr<const std::string> body)
{
    auto transfer = std::make_shared<Transfer>(context_, connection);
    transfer->head = std::move(head);
    transfer->body = std::move(body);
    std::vector<boost::asio::const_buffer> buffers { boost::asio::buffer(transfer->head) };
    if (transfer->body) {
        transfer->counter = transfers_;
        ++*transfers_;
        buffers.emplace_back(boost::asio::buffer(*transfer->body));
    }
    transfer->timer.expires_after(TransferTimeout);
    transfer->timer.async_wait([transfer](boost::system::error_code error) {
        boost::system::error_code ignored;
        if (!error)
            transfer->connection->socket.close(ignored);
    });
    boost::asio::async_write(transfer->connection->socket, buffers,
                             [transfer](boost::system::error_code, std::size_t) {
                                 transfer->timer.cancel();
                                 boost::system::error_code ignored;
                                 transfer->connection->socket.shutdown(
                                     boost::asio::ip::tcp::socket::shutdown_send, ignored);
                             });
}

} // namespace zinniadoor::gateway
