#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>

#include "absl/container/flat_hash_map.h"

#include "zinniadoor/base/clock.hpp"
#include "zinniadoor/gateway/cluster_time.hpp"
#include "zinniadoor/gateway/configuration.hpp"
#include "zinniadoor/gateway/dialects.hpp"
#include "zinniadoor/gateway/endpoint_directory.hpp"
#include "zinniadoor/gateway/endpoint_paths.hpp"
#include "zinniadoor/gateway/exchange_registry.hpp"
#include "zinniadoor/gateway/gateway_metrics.hpp"
#include "zinniadoor/gateway/log_follower.hpp"
#include "zinniadoor/gateway/quota.hpp"
#include "zinniadoor/gateway/retry_budget.hpp"
#include "zinniadoor/gateway/speed_estimate.hpp"
#include "zinniadoor/gateway/usage_window_counter.hpp"
#include "zinniadoor/net/http_client.hpp"
#include "zinniadoor/serving/admission_trials.hpp"
#include "zinniadoor/serving/answer_estimate.hpp"
#include "zinniadoor/serving/crash_evidence.hpp"
#include "zinniadoor/serving/engine_view.hpp"
#include "zinniadoor/serving/held_answers.hpp"
#include "zinniadoor/serving/outlier_ejection.hpp"
#include "zinniadoor/serving/plain_choice.hpp"
#include "zinniadoor/serving/spill.hpp"
#include "zinniadoor/serving/stream_origins.hpp"

namespace zinniadoor::gateway {

/// Where the version that began a stream was known from.
enum class OriginSource : std::uint8_t {
    Memory, ///< This instance has served the stream, or keeps its origin.
    OnlyVersion, ///< No other version has served for as long as streams last.
    Peers, ///< Another instance has served it, or keeps its origin.
    Answer, ///< The stream began in the same answer, or was taken up in it.
};

/// Stable identifier for logs and metrics.
const char *nameOf(OriginSource source);

/// What was found out about the version that began a stream.
struct OriginFinding
{
    std::optional<std::string> version; ///< Empty if it is not known.
    OriginSource source = OriginSource::Peers; ///< Or the last one that was tried.
    std::string instance {}; ///< The peer that knew it.
    bool mayBeKnownLater = false; ///< A source was not available.
};
using OriginCallback = std::function<void(const OriginFinding &)>;

/// Receives the updates that requests produce for the other parts of this instance and for its
/// peers.
class UpdateSink
{
public:
    virtual ~UpdateSink() = default;

    /// An engine prefills a prompt with these parts; `held`: the shared parts were assumed to be in
    /// its cache.
    virtual void announceParts(const base::EndpointId &engine,
                               const std::vector<serving::KeyedSegment> &parts, bool held)
        = 0;
    /// Of crashes, answers and trials of whole bodies.
    virtual void announceBodyReports(const serving::CrashReports &reports) = 0;
    /// Of crashes and answers of parts of prompts.
    virtual void announcePartReports(const serving::CrashReports &reports) = 0;

    /// Endpoints in the directory, or their properties, have changed.
    virtual void onDirectoryChanged() = 0;

    /// This instance has found that an endpoint failed, or that it answers again.
    virtual void announceFailure(const serving::FailureReport &report) = 0;

    /// An endpoint accepts no work for this time.
    virtual void announcePause(const base::EndpointId &endpoint, absl::Duration time) = 0;

    /// A stream, given by the digest of its id, has begun at a software version.
    virtual void announceOrigin(std::uint64_t, const std::string &) { }

    /// Asks other instances which version of the service began a stream.
    virtual void askOrigin(std::uint64_t, const std::string &, const OriginCallback &done)
    {
        done({});
    }
};

/// State shared by all requests; owned by the event thread.
struct ServingContext
{
    boost::asio::io_context &io;
    const base::Clock &clock;
    net::HttpClient &client;
    const CallerDialect &callerDialect;
    const EndpointDialect &endpointDialect;
    UpdateSink &updates;
    GatewayMetrics &metrics;
    base::DataCentreId dataCentre;

    ConfigurationPtr configuration; ///< Null until the first one has been read.
    EndpointDirectory directory;
    serving::EngineView load;
    serving::OutlierEjection health;
    serving::CrashEvidence bodyCrashes;
    serving::CrashEvidence partCrashes;
    Quota quota;
    RetryBudget budget;
    UsageWindowCounter usage;
    ClusterTime trueTime;
    SpeedEstimate speeds;
    serving::PlainChoice plainChoice {};
    serving::AnswerEstimate answers {}; ///< Of plain services.
    serving::AdmissionTrials admissionTrials {};
    RegionTable regions {};
    serving::Spill spill { {}, {} };
    ExchangeRegistry exchanges {};
    serving::StreamOrigins origins {};

    /// Whether there may be a newer configuration, in force by now, that this instance lacks.
    std::function<bool()> isConfigurationOutdated = [] { return false; };

    /// Time since the directory was last known to be complete.
    std::function<absl::Duration()> directoryAge = [] { return absl::ZeroDuration(); };

    /// Whether there may be records of endpoints, in force by now, that this instance lacks.
    std::function<bool()> isDirectoryOutdated = [] { return false; };

    /// Calls `done(true)` once the directory includes all records of the time of the call, or
    /// `done(false)` if that takes too long.
    std::function<void(const CatchUpCallback &done)> catchUpDirectory
        = [](const CatchUpCallback &done) { done(false); };
    std::shared_ptr<EndpointPaths> paths = std::make_shared<EndpointPaths>();
    std::shared_ptr<serving::HeldAnswers> heldAnswers
        = std::make_shared<serving::HeldAnswers>(serving::HeldAnswersOptions {});

    /// Whether something recent is known of a data centre, of which `endpoint` is one.
    bool isHeardOf(const base::DataCentreId &other, const base::EndpointId &endpoint,
                   absl::Time now) const
    {
        return spill.isKnown(other, now)
            || load.isReported(endpoint, spill.options().maxSilence, now);
    }
};

} // namespace zinniadoor::gateway
