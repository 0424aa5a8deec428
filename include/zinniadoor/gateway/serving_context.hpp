#pragma once

#include <boost/asio/io_context.hpp>

#include "absl/container/flat_hash_map.h"

#include "zinniadoor/base/clock.hpp"
#include "zinniadoor/gateway/configuration.hpp"
#include "zinniadoor/gateway/dialects.hpp"
#include "zinniadoor/gateway/endpoint_directory.hpp"
#include "zinniadoor/gateway/gateway_metrics.hpp"
#include "zinniadoor/gateway/quota.hpp"
#include "zinniadoor/gateway/retry_budget.hpp"
#include "zinniadoor/gateway/speed_estimate.hpp"
#include "zinniadoor/gateway/true_time.hpp"
#include "zinniadoor/gateway/usage_book.hpp"
#include "zinniadoor/net/http_client.hpp"
#include "zinniadoor/serving/crash_list.hpp"
#include "zinniadoor/serving/engine_view.hpp"
#include "zinniadoor/serving/outlier_ejection.hpp"

namespace zinniadoor::gateway {

/// News that a request brings for the rest of this instance and for its peers.
class NewsSink
{
public:
    virtual ~NewsSink() = default;

    /// An engine reads a prompt with these parts; `held`: it should have had the shared ones.
    virtual void announceParts(const base::EndpointId &engine,
                               const std::vector<serving::KeyedSegment> &parts, bool held)
        = 0;
    virtual void announceCrashes(const std::vector<serving::CrashEntry> &crashes) = 0;

    /// The directory shows other endpoints, or others of their properties.
    virtual void onDirectoryChanged() = 0;

    /// An endpoint takes no work for a while.
    virtual void announcePause(const base::EndpointId &endpoint, absl::Duration time) = 0;
};

/// What requests share: the state of serving, owned by the event thread.
struct ServingContext
{
    boost::asio::io_context &io;
    const base::Clock &clock;
    net::HttpClient &client;
    const CallerDialect &callers;
    const EndpointDialect &endpoints;
    NewsSink &news;
    GatewayMetrics &metrics;
    base::DataCentreId dataCentre;

    ConfigurationPtr configuration; ///< Null until the first one was read.
    EndpointDirectory directory;
    serving::EngineView load;
    serving::OutlierEjection health;
    serving::CrashList crashes;
    Quota quota;
    RetryBudget budget;
    UsageBook usage;
    TrueTime trueTime;
    SpeedEstimate speeds;
};

} // namespace zinniadoor::gateway
