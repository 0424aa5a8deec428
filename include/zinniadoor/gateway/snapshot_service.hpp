#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "zinniadoor/gateway/platform_ports.hpp"
#include "zinniadoor/net/head_server.hpp"

namespace zinniadoor::gateway {

enum class SnapshotState : std::uint8_t {
    Ready, ///< The newest records up to the position are here.
    Reading, ///< They are being read from the store.
    Absent,
};

/// The newest records of a log, as far as this instance has them.
class SnapshotSource
{
public:
    virtual ~SnapshotSource() = default;
    virtual SnapshotState state(LogPosition atLeast) const = 0;

    /// Of the records that `encoded` returns.
    virtual LogPosition position() const = 0;
    virtual std::shared_ptr<const std::string> encoded() = 0;
};

/// Path and query of a request for the newest records of a log up to a position or later.
std::string snapshotTarget(LogName log, LogPosition atLeast);

/// Header field with the position of a snapshot: era and offset, parted by a point.
inline constexpr char SnapshotPositionField[] = "Log-Position";

/// Nothing if the text is no position.
std::optional<LogPosition> parsePosition(std::string_view text);

/// Hands the newest records of logs on to other instances. Status 200: with the records; 202: they
/// are being read; 404: they are not here; 503: others are being served. For the event thread only.
class SnapshotService
{
public:
    explicit SnapshotService(boost::asio::io_context &context)
        : context_(context)
    { }

    /// `source` outlives the service.
    void add(LogName log, SnapshotSource &source) { sources_[log] = &source; }

    /// Answers the request; other paths than those of logs get a 404.
    void serve(const std::shared_ptr<net::HeadConnection> &connection);

private:
    struct Transfer;

    void send(const std::shared_ptr<net::HeadConnection> &connection, std::string head,
              std::shared_ptr<const std::string> body);

    boost::asio::io_context &context_;
    std::map<LogName, SnapshotSource *> sources_;
    std::shared_ptr<int> transfers_ = std::make_shared<int>(0); ///< Of records, under way.
};

} // namespace zinniadoor::gateway
