#include "zinniadoor/gateway/gateway.hpp"

#include <boost/asio/steady_timer.hpp>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

#include "zinniadoor/base/events.hpp"
#include "zinniadoor/gateway/catch_up.hpp"
#include "zinniadoor/gateway/endpoint_feed.hpp"
#include "zinniadoor/gateway/engine_list.hpp"
#include "zinniadoor/gateway/evacuations.hpp"
#include "zinniadoor/gateway/exchange.hpp"
#include "zinniadoor/gateway/fleet_duty.hpp"
#include "zinniadoor/gateway/held_log.hpp"
#include "zinniadoor/gateway/inbound_memory.hpp"
#include "zinniadoor/gateway/instance_register.hpp"
#include "zinniadoor/gateway/lease_runner.hpp"
#include "zinniadoor/gateway/log_follower.hpp"
#include "zinniadoor/gateway/peer_link.hpp"
#include "zinniadoor/gateway/process_limits.hpp"
#include "zinniadoor/gateway/relay_service.hpp"
#include "zinniadoor/gateway/shared_reads.hpp"
#include "zinniadoor/gateway/snapshot_service.hpp"
#include "zinniadoor/gateway/stage_duty.hpp"
#include "zinniadoor/gateway/stop_plan.hpp"
#include "zinniadoor/gateway/usage_duty.hpp"

namespace zinniadoor::gateway {

namespace {

using base::EventId;
using base::logEvent;

/// The load balancer probes readiness once per second and reacts to the second failure.
constexpr absl::Duration BalancerDetectionTime = absl::Milliseconds(3200);

/// Time for the answers to requests that are ended by the stop to leave, as a share of the stop
/// time.
constexpr double LastAnswersShare = 0.02;

/// Limit for writing the last usage counts to the store.
constexpr absl::Duration FlushTimeout = absl::Milliseconds(500);

/// Retry-After of requests rejected while stopping; the retry reaches another instance.
constexpr absl::Duration StoppingRetryAfter = absl::Milliseconds(50);

/// Safety margin for clock drift and network delay, as a share of the lease.
constexpr double LeaseMarginShare = 0.15;
/// Limit for reading what the list of endpoints may lack while a caller waits. Spans two calls to a
/// slow store, since one that is under way has to end first.
constexpr absl::Duration CatchUpTime = absl::Milliseconds(600);
constexpr absl::Duration StopPollInterval = absl::Milliseconds(50);

/// How long idle keep-alive connections stay open while stopping.
constexpr absl::Duration IdleGrace = absl::Milliseconds(2500);

/// Share of the quotas that a new instance may use until it has discovered its peers.
constexpr double InitialQuotaShare = 0.25;

net::ServerLimits serverLimits(const CallerLimits &limits, std::size_t maxConnections)
{
    return { limits.maxHeadBytes, limits.maxBodyBytes, limits.requestTimeout, limits.idleTimeout,
             maxConnections };
}

ProcessShares processShares(const GatewaySettings &settings)
{
    ProcessLimits limits = readProcessLimits();
    if (settings.memoryBytes > 0)
        limits.memoryBytes = settings.memoryBytes;
    return shareOut(limits);
}

QuotaOptions quotaOptions(const GatewaySettings &settings, const ProcessStart &start)
{
    QuotaOptions options;
    options.slack = settings.quotaSlack;
    options.startBurstShare = 0;
    options.startQuotaShare = InitialQuotaShare;
    options.start = start;
    return options;
}

RetryBudgetOptions budgetOptions(const GatewaySettings &settings)
{
    RetryBudgetOptions options;
    options.ratio = settings.retryRatio;
    options.slack = settings.retrySlack;
    options.window = settings.retryWindow;
    options.startShare = 0;
    return options;
}

net::Response textAnswer(net::http::status status, std::string text)
{
    net::Response answer(status, 11);
    answer.set(net::http::field::content_type, "text/plain; version=0.0.4");
    answer.body() = std::move(text);
    return answer;
}

/// Logs the loss and the recovery of a dependency, once each.
class Dependency
{
public:
    explicit Dependency(const char *name)
        : name_(name)
    { }

    void noteFailure(const std::string &reason)
    {
        if (!lost_)
            logEvent(EventId::DependencyLost, { { "dependency", name_ }, { "reason", reason } });
        lost_ = true;
    }
    void noteSuccess()
    {
        if (lost_)
            logEvent(EventId::DependencyRegained, { { "dependency", name_ } });
        lost_ = false;
    }

private:
    const char *name_;
    bool lost_ = false;
};

class GatewayImpl : public Gateway, public net::RequestHandler, public UpdateSink
{
public:
    GatewayImpl(boost::asio::io_context &context, const GatewaySettings &settings,
                const GatewayPorts &ports)
        : io_(context)
        , settings_(settings)
        , ports_(ports)
        , start_ { static_cast<std::uint64_t>(absl::ToUnixMicros(ports.clock->wallTime())),
                   ports.clock->now() }
        , serving_ { context,
                     *ports.clock,
                     *ports.client,
                     *ports.callerDialect,
                     *ports.endpointDialect,
                     *this,
                     metrics_,
                     settings.dataCentre,
                     nullptr,
                     EndpointDirectory(DirectoryOptions {}),
                     serving::EngineView(),
                     serving::OutlierEjection(serving::EjectionOptions {}),
                     serving::CrashEvidence(serving::CrashEvidenceOptions::ofBodies()),
                     serving::CrashEvidence(serving::CrashEvidenceOptions {}),
                     Quota(quotaOptions(settings, start_)),
                     RetryBudget(budgetOptions(settings)),
                     UsageWindowCounter(settings.usageWindow),
                     ClusterTime(ports.clock->now(), ports.clock->wallTime()),
                     SpeedEstimate() }
        , shares_(processShares(settings))
        , inbound_(makeInboundMemory(context, *ports.clock, metrics_, shares_.bodies))
        , self_ { settings.instance.str(), start_.incarnation }
        , peers_(self_)
        , feed_(serving_.directory, *ports.decoder)
        , evacuations_(*ports.decoder)
        , configurationHandler_(*this)
        , endpointsHandler_(*this)
        , readinessHandler_(*this)
        , configurationLog_(LogName::Configuration, configurationHandler_,
                            settings.configurationNotice)
        , endpointsLog_(LogName::Endpoints, endpointsHandler_, settings.leavingNotice)
        , snapshots_(context)
        , relay_(context, [this](const std::string &id) { return addressOf(id); })
        , stopTimer_(context)
    {
        serving_.directory.failures().setEnabled(settings.failureReports);
        serving_.heldAnswers = std::make_shared<serving::HeldAnswers>(shares_.answers);
        serving_.directory.cold().setBounds(settings.cold);
        serving_.regions = settings.regions;
        serving_.isConfigurationOutdated
            = [this] { return configurationLog_.isOutdated(ports_.clock->now()); };
        serving_.directoryAge = [this] { return endpointsLog_.age(ports_.clock->now()); };
        serving_.isDirectoryOutdated
            = [this] { return endpointsLog_.isOutdated(ports_.clock->now()); };
        serving_.catchUpDirectory = [this](const CatchUpCallback &done) {
            catchUpWithin(CatchUpTime, io_, *ports_.clock, endpointsLog_.follower(), done);
        };
        serving_.spill = serving::Spill(settings.spill, settings.instance);
        serving_.paths = makeRelayedPaths(
            context, *ports.clock, serving_.directory, peers_, settings.dataCentre,
            [this](bool isCutOff) { relay_.setAccepting(!isCutOff && !stopping_); });
        relay_.setFaultFinder(
            [this](const std::string &endpoint, const auto &onFault, const auto &onCutOff) {
                serving_.paths->noteConnectFailed(base::EndpointId(endpoint), onFault, onCutOff);
            });
    }

    base::Status start()
    {
        auto callers = net::listenHttp(io_, settings_.callers,
                                       serverLimits(CallerLimits {}, shares_.connections), *this,
                                       inbound_.get());
        if (!callers)
            return callers.lastReason();
        auto readiness
            = net::listenHttp(io_, settings_.readiness, net::ServerLimits {}, readinessHandler_);
        if (!readiness)
            return readiness.lastReason();
        auto metrics
            = net::listenHttp(io_, settings_.metrics, net::ServerLimits {}, readinessHandler_);
        if (!metrics)
            return metrics.lastReason();
        callerServer_ = std::move(*callers);
        readinessServer_ = std::move(*readiness);
        metricsServer_ = std::move(*metrics);
        auto link = makePeerLink(io_, settings_.peers, self_, serving_, peers_,
                                 [this](const LogPart &part) { onLogPart(part); });
        if (!link)
            return link.lastReason();
        peerLink_ = std::move(*link);
        makeFollowers();
        auto peerServer = net::listenForHeads(
            io_, settings_.peers, net::HeadServerOptions {}, [this](const auto &connection) {
                if (connection->head.method() == net::http::verb::connect)
                    relay_.serve(connection);
                else
                    snapshots_.serve(connection);
            });
        if (peerServer)
            peerServer_ = std::move(*peerServer);
        else // Others read the store themselves, and no connections are passed on.
            logEvent(
                EventId::DependencyLost,
                { { "dependency", "peer_listener" }, { "reason", peerServer.lastReason().text } });
        LeaseOptions lease { settings_.lease, settings_.lease * LeaseMarginShare };
        lease.firstUncommitted = [this](absl::Time now) {
            return firstUncommittedWindow(serving_.usage, serving_.trueTime.at(now),
                                          settings_.usageDue);
        };
        leaseRunner_ = makeLeaseRunner(io_, *ports_.store, *ports_.clock, self_, lease, peers_);
        instances_
            = makeInstanceRegister(io_, { *ports_.store, *leaseRunner_, peers_, *ports_.clock },
                                   { self_, settings_.peers, settings_.dataCentre.str() });
        usageDuty_ = makeUsageDuty(
            io_,
            { *ports_.store, *ports_.duties, *leaseRunner_, serving_.usage, peers_,
              serving_.trueTime, *ports_.clock },
            { self_, settings_.peers, settings_.dataCentre.str(), settings_.usageDue });
        fleetDuty_
            = makeFleetDuty(io_, { *ports_.duties, *leaseRunner_, serving_ }, settings_.fleet);
        stageDuty_ = makeStageDuty(io_, { *leaseRunner_, serving_ }, settings_.instance.str(),
                                   settings_.stages);
        configurationLog_.follower().start();
        endpointsLog_.follower().start();
        peerLink_->start();
        leaseRunner_->start();
        instances_->start();
        usageDuty_->start();
        fleetDuty_->start();
        stageDuty_->start();
        logEvent(EventId::GatewayStarted,
                 { { "callers", settings_.callers }, { "store", settings_.store } });
        return base::Done {};
    }

    void reload(const GatewaySettings &settings) override
    {
        settings_ = settings;
        base::startLogging(settings.log);
        serving_.budget.setOptions(budgetOptions(settings));
        logEvent(EventId::SettingsReloaded, {});
    }

    void stop(std::function<void()> stopped) override
    {
        if (stopping_)
            return;
        stopping_ = true;
        stopped_ = std::move(stopped);
        stopStartedAt_ = ports_.clock->now();
        stopPlan_ = planStop(settings_.stopTime);
        logEvent(EventId::GatewayStopping,
                 { { "active", std::to_string(callerServer_->activeRequests()) } });
        noteReadiness();
        relay_.setAccepting(false);
        callerServer_->drain(IdleGrace);
        leaseRunner_->stop();
        peerLink_->noteStopping();
        pollStop();
    }

    void onRequest(net::Request request, std::shared_ptr<net::Responder> responder) override
    {
        if (stopping_ && ports_.clock->now() - stopStartedAt_ >= stopPlan_.acceptance) {
            refuseRequest(serving_, std::move(request), std::move(responder),
                          { RefusalKind::NotRun, "stopping", StoppingRetryAfter });
            return;
        }
        serveRequest(serving_, std::move(request), std::move(responder));
    }

    void announceParts(const base::EndpointId &engine,
                       const std::vector<serving::KeyedSegment> &parts, bool held) override
    {
        peerLink_->announceParts(engine, parts, held);
    }
    void announceBodyReports(const serving::CrashReports &reports) override
    {
        peerLink_->announceBodyReports(reports);
    }
    void announcePartReports(const serving::CrashReports &reports) override
    {
        peerLink_->announcePartReports(reports);
    }
    void onDirectoryChanged() override { applyEndpoints(); }
    void announceFailure(const serving::FailureReport &report) override
    {
        peerLink_->announceFailure(report);
    }
    void announcePause(const base::EndpointId &endpoint, absl::Duration time) override
    {
        peerLink_->announcePause(endpoint, time);
    }
    void announceOrigin(std::uint64_t stream, const std::string &version) override
    {
        peerLink_->announceOrigin(stream, version);
    }
    void askOrigin(std::uint64_t stream, const std::string &service,
                   const OriginCallback &done) override
    {
        peerLink_->askOrigin(stream, service, done);
    }

private:
    /// Serves the readiness probe and the metrics.
    class ReadinessHandler : public net::RequestHandler
    {
    public:
        explicit ReadinessHandler(GatewayImpl &gateway)
            : gateway_(gateway)
        { }
        void onRequest(net::Request request, std::shared_ptr<net::Responder> responder) override
        {
            using net::http::status;
            if (request.target() == "/metrics") {
                gateway_.metrics_.setDroppedLogLines(base::droppedLogLines());
                gateway_.noteLogAges();
                gateway_.metrics_.setCutOff(gateway_.serving_.paths->isCutOff());
                gateway_.metrics_.setRelayedConnections(gateway_.relay_.connections());
                gateway_.metrics_.setColdEndpoints(
                    gateway_.serving_.directory.cold().coldCount(gateway_.ports_.clock->now()));
                responder->answer(textAnswer(status::ok, gateway_.metrics_.text()));
            } else if (request.target() == "/ready") {
                gateway_.noteLogAges();
                const bool ready = gateway_.isReady();
                responder->answer(textAnswer(ready ? status::ok : status::service_unavailable,
                                             ready ? "ready\n" : "not ready\n"));
            } else {
                responder->answer(textAnswer(status::not_found, "no such page\n"));
            }
        }

    private:
        GatewayImpl &gateway_;
    };

    class ConfigurationHandler : public FollowerHandler
    {
    public:
        explicit ConfigurationHandler(GatewayImpl &gateway)
            : gateway_(gateway)
        { }
        void onNewest(const NewestRecords &newest) override
        {
            for (const KeyedRecord &record : newest.records)
                applyConfigurationRecord(record);
            if (gateway_.evacuations_.applyNewest(newest))
                gateway_.applyEvacuations();
        }
        bool onRecord(const KeyedRecord &record) override
        {
            applyConfigurationRecord(record);
            if (gateway_.evacuations_.applyRecord(record))
                gateway_.applyEvacuations();
            return true;
        }
        void onCurrent() override { gateway_.storeDependency_.noteSuccess(); }
        void onFailure(const base::Reason &reason) override
        {
            gateway_.metrics_.countStoreFailure("read_configuration");
            gateway_.metrics_.countDroppedLogBytes(nameOf(LogName::Configuration),
                                                   reason.droppedBytes);
            gateway_.storeDependency_.noteFailure(reason.text);
        }
        void onRead(ReadCause cause) override
        {
            gateway_.metrics_.countLogRead(nameOf(LogName::Configuration), nameOf(cause));
        }
        void onUnreadable(const base::Reason &reason) override
        {
            logEvent(EventId::ConfigurationRejected, { { "reason", reason.text } });
        }

    private:
        void applyConfigurationRecord(const KeyedRecord &record)
        {
            if (record.value && record.key == gateway_.ports_.decoder->configurationKey())
                gateway_.applyConfiguration(*record.value);
        }

        GatewayImpl &gateway_;
    };

    class EndpointsHandler : public FollowerHandler
    {
    public:
        explicit EndpointsHandler(GatewayImpl &gateway)
            : gateway_(gateway)
        { }
        void onNewest(const NewestRecords &newest) override
        {
            changed_ |= gateway_.feed_.applyNewest(newest, now());
        }
        bool onRecord(const KeyedRecord &record) override
        {
            const EndpointFeed::Change change = gateway_.feed_.applyRecord(record, now());
            changed_ |= change.directory;
            return change.log;
        }
        void onCurrent() override
        {
            gateway_.endpointsDependency_.noteSuccess();
            changed_ |= gateway_.feed_.noteCurrent(now());
            if (changed_)
                gateway_.applyEndpoints();
            changed_ = false;
        }
        void onFailure(const base::Reason &reason) override
        {
            gateway_.metrics_.countStoreFailure("read_endpoints");
            gateway_.metrics_.countDroppedLogBytes(nameOf(LogName::Endpoints), reason.droppedBytes);
            gateway_.feed_.noteFailure(now());
            gateway_.endpointsDependency_.noteFailure(reason.text);
        }
        void onRead(ReadCause cause) override
        {
            gateway_.metrics_.countLogRead(nameOf(LogName::Endpoints), nameOf(cause));
        }
        void onUnreadable(const base::Reason &reason) override
        {
            logEvent(EventId::EndpointRecordRejected, { { "reason", reason.text } });
        }

    private:
        absl::Time now() const { return gateway_.ports_.clock->now(); }
        GatewayImpl &gateway_;
        bool changed_ = false;
    };

    void makeFollowers()
    {
        makeFollower(configurationLog_, configurationReads_,
                     followerOptions(LogName::Configuration, settings_.configurationNotice),
                     settings_.configurationNotice);
        makeFollower(endpointsLog_, endpointsReads_,
                     followerOptions(LogName::Endpoints, settings_.leavingNotice),
                     settings_.leavingNotice);
    }

    void makeFollower(HeldLog &log, std::unique_ptr<SharedReads> &reads, FollowerOptions options,
                      absl::Duration notice)
    {
        options.self = self_;
        const SharedReadsOptions shared { options.log, self_.instance, settings_.dataCentre,
                                          notice };
        reads = makeSharedReads(
            io_, *ports_.client, *ports_.clock,
            [this] {
                return KnownPeers { peers_.candidates(ports_.clock->now()),
                                    peers_.hasReadJournal() };
            },
            shared);
        log.setFollower(makeLogFollower(io_,
                                        { *ports_.store,
                                          *ports_.decoder,
                                          *ports_.clock,
                                          *peerLink_,
                                          log.handler(),
                                          {},
                                          reads.get() },
                                        options));
        snapshots_.add(options.log, log);
    }

    void onLogPart(const LogPart &part)
    {
        if (part.log == LogName::Configuration)
            configurationLog_.follower().onPart(part);
        else if (part.log == LogName::Endpoints)
            endpointsLog_.follower().onPart(part);
    }

    std::optional<std::string> addressOf(const std::string &endpoint) const
    {
        const EndpointRecord *record = serving_.directory.find(base::EndpointId(endpoint));
        return record ? std::make_optional(record->address) : std::nullopt;
    }

    void noteLogAges()
    {
        const absl::Time now = ports_.clock->now();
        for (HeldLog *log : { &configurationLog_, &endpointsLog_ }) {
            log->logIfChanged(now);
            const char *name
                = nameOf(log == &configurationLog_ ? LogName::Configuration : LogName::Endpoints);
            metrics_.setLogAge(name, log->age(now));
        }
    }

    bool isReady() const
    {
        return !stopping_ && serving_.configuration && !serving_.directory.empty()
            && !configurationLog_.follower().isConfirming()
            && !endpointsLog_.follower().isConfirming();
    }

    void noteReadiness()
    {
        const bool ready = isReady();
        if (ready == readyLogged_)
            return;
        readyLogged_ = ready;
        metrics_.setReady(ready);
        logEvent(EventId::ReadinessChanged, { { "ready", ready ? "yes" : "no" } });
    }

    void applyConfiguration(const std::string &text)
    {
        auto parts = ports_.decoder->configuration(text);
        if (!parts) {
            logEvent(EventId::ConfigurationRejected, { { "reason", parts.lastReason().text } });
            return;
        }
        const std::uint64_t version = parts->version;
        const ConfigurationPtr current = serving_.configuration;
        if (current && version < current->version()) {
            logEvent(EventId::ConfigurationRejected,
                     { { "version", std::to_string(version) }, { "reason", "older" } });
            return;
        }
        // A version that a restoration of the store has lost may be written again with changes.
        if (current && version == current->version() && text == configurationText_)
            return;
        configurationText_ = text;
        serving_.configuration = std::make_shared<const Configuration>(std::move(*parts));
        serving_.quota.configure(*serving_.configuration);
        callerServer_->setLimits(
            serverLimits(serving_.configuration->parts().limits, shares_.connections));
        absl::flat_hash_map<std::string, serving::ColdTraits> cold;
        for (const Service &service : serving_.configuration->parts().services)
            cold[service.name] = service.cold;
        serving_.directory.cold().setServices(std::move(cold), ports_.clock->now());
        metrics_.setConfigurationVersion(version);
        logEvent(EventId::ConfigurationApplied,
                 { { "version", std::to_string(version) },
                   { "routes", std::to_string(serving_.configuration->parts().routes.size()) },
                   { "keys", nameOf(serving_.configuration->parts().keyPolicy) } });
        applyEndpoints();
    }

    void applyEvacuations()
    {
        const Evacuations::DataCentres &dataCentres = evacuations_.dataCentres();
        serving_.directory.setEvacuated(dataCentres, ports_.clock->now());
        metrics_.setEvacuations(dataCentres.size());
        logEvent(
            EventId::EvacuationsChanged,
            { { "data_centres",
                absl::StrJoin(dataCentres, ",", [](std::string *out, const base::DataCentreId &id) {
                    out->append(id.str());
                }) } });
        applyEndpoints();
    }

    void applyEndpoints()
    {
        std::vector<base::EndpointId> ids;
        std::size_t leaving = 0;
        for (const EndpointRecord *record : serving_.directory.all()) {
            ids.push_back(record->id);
            leaving += serving_.directory.acceptsWork(record->id) ? 0 : 1;
        }
        const std::vector<serving::EngineInfo> engines = enginesOf(serving_);
        serving_.load.setEngines(engines);
        serving_.health.setEndpoints(ids);
        serving_.plainChoice.setEndpoints(ids);
        serving_.directory.limits().setEndpoints(ids);
        metrics_.setEndpoints(ids.size());
        logEvent(EventId::EndpointsChanged,
                 { { "endpoints", std::to_string(ids.size()) },
                   { "engines", std::to_string(engines.size()) },
                   { "leaving", std::to_string(leaving) } });
        noteReadiness();
    }

    void pollStop()
    {
        const absl::Duration since = ports_.clock->now() - stopStartedAt_;
        const std::size_t active = callerServer_->activeRequests();
        if (active > 0 && since >= stopPlan_.cut && cutRequests_ == 0) {
            cutRequests_ = active;
            serving_.exchanges.endAll();
        }
        const bool isIdle = active == 0 && relay_.busyConnections() == 0;
        if ((isIdle && since >= BalancerDetectionTime)
            || since >= stopPlan_.cut + settings_.stopTime * LastAnswersShare) {
            logEvent(EventId::GatewayStopped,
                     { { "cut", std::to_string(cutRequests_) },
                       { "took_ms", std::to_string(absl::ToInt64Milliseconds(since)) } });
            callerServer_->close();
            const auto done = [this, left = std::make_shared<int>(2)] {
                if (--*left == 0)
                    stopped_();
            };
            instances_->stop(done);
            usageDuty_->stop(done);
            stopTimer_.expires_after(absl::ToChronoMilliseconds(FlushTimeout));
            stopTimer_.async_wait([this](boost::system::error_code error) {
                if (!error)
                    stopped_();
            });
            return;
        }
        stopTimer_.expires_after(absl::ToChronoMilliseconds(StopPollInterval));
        stopTimer_.async_wait([this](boost::system::error_code error) {
            if (!error)
                pollStop();
        });
    }

    boost::asio::io_context &io_;
    GatewaySettings settings_;
    GatewayPorts ports_;
    ProcessStart start_;
    GatewayMetrics metrics_;
    ServingContext serving_;
    ProcessShares shares_;
    std::unique_ptr<net::InboundBytes> inbound_; ///< Used by `callerServer_`.
    ProcessName self_;
    PeerTable peers_;
    EndpointFeed feed_;
    Evacuations evacuations_;
    ConfigurationHandler configurationHandler_;
    EndpointsHandler endpointsHandler_;
    ReadinessHandler readinessHandler_;
    std::string configurationText_; ///< As written by the operators, in force.
    Dependency storeDependency_ { "configuration_log" };
    Dependency endpointsDependency_ { "endpoints_log" };
    std::unique_ptr<net::HttpServer> callerServer_;
    std::unique_ptr<net::HttpServer> readinessServer_;
    std::unique_ptr<net::HttpServer> metricsServer_;
    std::unique_ptr<PeerLink> peerLink_;
    std::unique_ptr<SharedReads> configurationReads_; ///< Used by `configurationLog_`.
    std::unique_ptr<SharedReads> endpointsReads_; ///< Used by `endpointsLog_`.
    HeldLog configurationLog_;
    HeldLog endpointsLog_;
    SnapshotService snapshots_;
    RelayService relay_;
    std::unique_ptr<net::HeadServer> peerServer_; ///< TCP, at the address of `peerLink_`.
    std::unique_ptr<LeaseRunner> leaseRunner_;
    std::unique_ptr<InstanceRegister> instances_;
    std::unique_ptr<UsageDuty> usageDuty_;
    std::unique_ptr<FleetDuty> fleetDuty_;
    std::unique_ptr<StageDuty> stageDuty_;
    boost::asio::steady_timer stopTimer_;
    bool stopping_ = false;
    bool readyLogged_ = false;
    absl::Time stopStartedAt_;
    StopPlan stopPlan_;
    std::size_t cutRequests_ = 0; ///< Ended since the stop time was nearly over.
    std::function<void()> stopped_;
};

} // namespace

base::Outcome<std::unique_ptr<Gateway>> startGateway(boost::asio::io_context &context,
                                                     const GatewaySettings &settings,
                                                     const GatewayPorts &ports)
{
    auto gateway = std::make_unique<GatewayImpl>(context, settings, ports);
    const base::Status started = gateway->start();
    if (!started)
        return started.lastReason();
    return std::unique_ptr<Gateway>(std::move(gateway));
}

} // namespace zinniadoor::gateway
