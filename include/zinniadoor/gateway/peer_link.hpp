#pragma once

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "zinniadoor/gateway/log_follower.hpp"
#include "zinniadoor/gateway/peer_table.hpp"
#include "zinniadoor/gateway/serving_context.hpp"

namespace zinniadoor::gateway {

/// Exchanges state updates and parts of logs with the peers by datagrams, several times a second.
class PeerLink : public LogRelay
{
public:
    virtual void announceParts(const base::EndpointId &engine,
                               const std::vector<serving::KeyedSegment> &parts, bool held)
        = 0;
    virtual void announceBodyReports(const serving::CrashReports &reports) = 0;
    virtual void announcePartReports(const serving::CrashReports &reports) = 0;
    virtual void announcePause(const base::EndpointId &endpoint, absl::Duration time) = 0;
    virtual void announceFailure(const serving::FailureReport &report) = 0;
    virtual void announceOrigin(std::uint64_t stream, const std::string &version) = 0;
    virtual void askOrigin(std::uint64_t stream, const std::string &service,
                           const OriginCallback &done)
        = 0;
    virtual void start() = 0;

    /// Advertises that this instance is shutting down: it gives up leadership and takes no duties.
    virtual void noteStopping() = 0;
};

/// Binds `address`. `serving` and `peers` must outlive the link; `onPart` receives parts of logs
/// that other instances have read.
base::Outcome<std::unique_ptr<PeerLink>> makePeerLink(boost::asio::io_context &context,
                                                      const std::string &address,
                                                      const ProcessName &self,
                                                      ServingContext &serving, PeerTable &peers,
                                                      std::function<void(const LogPart &)> onPart);

} // namespace zinniadoor::gateway
