#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "absl/time/time.h"

#include "zinniadoor/base/clock.hpp"
#include "zinniadoor/base/ids.hpp"
#include "zinniadoor/gateway/peer_group.hpp"
#include "zinniadoor/gateway/platform_ports.hpp"
#include "zinniadoor/net/http_client.hpp"

namespace zinniadoor::gateway {

/// Long records of a log that another instance may hand on.
class SharedReads
{
public:
    virtual ~SharedReads() = default;

    /// Asks other instances for the newest records up to `atLeast` or later. `done` receives them,
    /// or nothing as soon as this instance is to read the store.
    virtual void await(LogPosition atLeast,
                       std::function<void(const std::optional<NewestRecords> &)> done)
        = 0;

    /// Asks on while this instance reads the store; `done` is called only with records.
    virtual void ask(LogPosition atLeast,
                     std::function<void(const std::optional<NewestRecords> &)> done)
        = 0;

    /// A read of the store that followed has failed.
    virtual void noteFailure() = 0;
    virtual void noteSuccess() = 0;

    /// Ends a wait, or asking, without calling `done`.
    virtual void cancel() = 0;
};

/// The other instances, as far as they are known.
struct KnownPeers
{
    std::vector<GroupCandidate> peers;
    bool isComplete = false; ///< All that have started before this instance are known.
};

struct SharedReadsOptions
{
    LogName log = LogName::Configuration;
    std::string instance; ///< This one.
    base::DataCentreId dataCentre; ///< Of this instance.
    absl::Duration notice; ///< Within which the records must be in force.
};

/// `client` and `clock` outlive the result.
std::unique_ptr<SharedReads> makeSharedReads(boost::asio::io_context &context,
                                             net::HttpClient &client, const base::Clock &clock,
                                             std::function<KnownPeers()> peers,
                                             const SharedReadsOptions &options);

} // namespace zinniadoor::gateway
