#include "zinniadoor/daemon/daemon.hpp"

#include <thread>
#include <utility>

#include <sodium.h>

#include "zinniadoor/adapters/curl_endpoint_client.hpp"
#include "zinniadoor/adapters/http_server.hpp"
#include "zinniadoor/adapters/peer_socket.hpp"
#include "zinniadoor/adapters/platform_http.hpp"
#include "zinniadoor/base/events.hpp"
#include "zinniadoor/daemon/admin_handler.hpp"
#include "zinniadoor/daemon/core.hpp"

namespace zinniadoor::daemon {

namespace {

constexpr std::size_t CoreRingCapacity = 32768;
constexpr std::size_t AdminConnections = 64;
constexpr absl::Duration StopPollInterval = absl::Milliseconds(10);
constexpr absl::Duration InstanceListInterval = absl::Seconds(1);
constexpr int StatusUnavailable = 503;

/// Forwards the events of callers' exchanges to the core thread.
class CallerFrontHandler : public ports::CallerHandler
{
public:
    explicit CallerFrontHandler(CoreRing &ring)
        : ring_(ring)
    { }

    void onRequest(std::shared_ptr<ports::CallerExchange> exchange) override
    {
        CoreMessage message = CallerRequestReceived { exchange };
        if (ring_.tryPush(std::move(message)))
            return;
        const ErrorResponse overloaded { StatusUnavailable,
                                         { base::ReasonCode::Unavailable,
                                           "this instance is too busy" },
                                         RunState::NotRun,
                                         absl::Seconds(1) };
        sendError(*exchange, {}, overloaded);
    }

    // A dropped event is harmless: the next one, or the next tick, processes the exchange again.
    void onProgress(const std::shared_ptr<ports::CallerExchange> &exchange) override
    {
        ring_.tryPush(CallerExchangeUpdated { exchange });
    }

private:
    CoreRing &ring_;
};

/// Forwards peers' messages to the core thread. Drops them while the ring is full; senders have to
/// cope with losses in the network anyway.
class PeerFrontHandler : public ports::PeerHandler
{
public:
    explicit PeerFrontHandler(CoreRing &ring)
        : ring_(ring)
    { }

    void onDatagram(const std::string &fromAddress, std::string bytes) override
    {
        ring_.tryPush(PeerDatagramReceived { fromAddress, std::move(bytes) });
    }

    void onCall(std::string bytes, Reply reply) override
    {
        ring_.tryPush(PeerRequestReceived { std::move(bytes), std::move(reply) });
    }

private:
    CoreRing &ring_;
};

adapters::HttpServerOptions callerOptions(const Settings &settings)
{
    adapters::HttpServerOptions options;
    options.address = settings.callers.ip;
    options.port = settings.callers.port;
    options.maxHeaderBytes = settings.limits.maxHeaderBytes;
    options.maxBodyBytes = settings.limits.maxBodyBytes;
    options.connectionLimit = settings.limits.connections;
    options.idleTimeout = settings.limits.idleTimeout;
    options.requestTimeout = settings.limits.requestTimeout;
    // The endpoint is paused at pendingBytesPerStream; data already in flight then still has to
    // fit.
    options.maxPendingBytes = 2 * settings.limits.pendingBytesPerStream + adapters::MebiByte;
    return options;
}

adapters::HttpServerOptions adminOptions(const Settings &settings)
{
    adapters::HttpServerOptions options;
    options.address = settings.admin.ip;
    options.port = settings.admin.port;
    options.connectionLimit = AdminConnections;
    return options;
}

adapters::PeerSocketOptions peerOptions(const Settings &settings)
{
    adapters::PeerSocketOptions options;
    options.address = settings.peers.ip;
    options.port = settings.peers.port;
    return options;
}

std::uint64_t randomNumber()
{
    std::uint64_t number = 0;
    randombytes_buf(&number, sizeof(number));
    return number;
}

class RunningDaemon : public Daemon
{
public:
    explicit RunningDaemon(const Settings &settings)
        : settings_(settings)
        , clock_(base::systemClock())
        , burn_(*clock_)
        , ring_(CoreRingCapacity)
        , callerFront_(ring_)
        , peerFront_(ring_)
    { }

    // Closes the servers first, so that no new requests arrive, then the core, which uses the other
    // members.
    ~RunningDaemon() override
    {
        callersServer_.reset();
        adminServer_.reset();
        if (core_)
            core_->stop();
        ring_.wake();
        if (coreThread_.joinable())
            coreThread_.join();
        peerLink_.reset();
        core_.reset();
        endpoints_.reset();
    }

    base::Status start()
    {
        base::Outcome<std::unique_ptr<ports::PeerLink>> link
            = adapters::openPeerSocket(peerOptions(settings_), peerFront_);
        if (!link)
            return link.lastReason();
        peerLink_ = std::move(*link);
        startCore();
        base::Outcome<std::unique_ptr<ports::CallerServer>> admin
            = adapters::listenHttp(adminOptions(settings_), *admin_);
        if (!admin)
            return admin.lastReason();
        adminServer_ = std::move(*admin);
        base::Outcome<std::unique_ptr<ports::CallerServer>> callers
            = adapters::listenHttp(callerOptions(settings_), callerFront_);
        if (!callers)
            return callers.lastReason();
        callersServer_ = std::move(*callers);
        coreThread_ = std::thread([this] { core_->run(); });
        base::logEvent(base::EventId::DaemonStarted, {});
        return base::Done {};
    }

    int callersPort() const override { return callersServer_->port(); }
    int adminPort() const override { return adminServer_->port(); }
    int peersPort() const override { return peerLink_->port(); }

    void stop() override
    {
        while (!ring_.tryPush(StopRequested {}))
            absl::SleepFor(StopPollInterval);
        const absl::Time deadline = clock_->now() + settings_.limits.drainTimeout;
        while (!core_->status().drained && clock_->now() < deadline)
            absl::SleepFor(StopPollInterval);
        callersServer_->stopAccepting();
        base::logEvent(base::EventId::DaemonStopped, {});
    }

private:
    void startCore()
    {
        const adapters::PlatformOptions platform { settings_.platform.url,
                                                   settings_.platform.timeout };
        endpoints_ = adapters::curlEndpointClient({});
        tail_ = std::make_unique<LogTail>(LogTail::Options {}, adapters::httpLog(platform), *clock_,
                                          ring_);
        appender_ = std::make_unique<LogAppender>(adapters::httpLog(platform), ring_);
        orders_ = std::make_unique<OrderWorker>(platform, ring_);
        reports_ = std::make_unique<UsageReportWorker>(platform, ring_);
        instances_ = std::make_unique<InstanceListWorker>(platform, InstanceListInterval, ring_);
        core_ = std::make_unique<Core>(
            Core::Parts { settings_, *clock_, ring_, *endpoints_, *peerLink_, *tail_, *appender_,
                          *orders_, *reports_, metrics_, burn_, randomNumber(), newIncarnation() });
        admin_ = std::make_unique<AdminHandler>(AdminHandler::Options {
            metrics_, burn_, [this] { return core_->status(); }, settings_.log });
    }

    // Increases from one process to the next as long as the wall clock does not go back; two
    // processes clash only if they start in the same microsecond.
    base::Incarnation newIncarnation() const
    {
        return static_cast<base::Incarnation>(absl::ToUnixMicros(clock_->wallTime()));
    }

    const Settings settings_;
    std::unique_ptr<base::Clock> clock_;
    Metrics metrics_;
    BurnRecorder burn_;
    CoreRing ring_;
    CallerFrontHandler callerFront_;
    PeerFrontHandler peerFront_;
    std::unique_ptr<ports::PeerLink> peerLink_;
    std::unique_ptr<ports::EndpointClient> endpoints_;
    std::unique_ptr<LogTail> tail_;
    std::unique_ptr<LogAppender> appender_;
    std::unique_ptr<OrderWorker> orders_;
    std::unique_ptr<UsageReportWorker> reports_;
    std::unique_ptr<InstanceListWorker> instances_;
    std::unique_ptr<Core> core_;
    std::unique_ptr<AdminHandler> admin_;
    std::unique_ptr<ports::CallerServer> adminServer_;
    std::unique_ptr<ports::CallerServer> callersServer_;
    std::thread coreThread_;
};

} // namespace

base::Outcome<std::unique_ptr<Daemon>> startDaemon(const Settings &settings)
{
    auto daemon = std::make_unique<RunningDaemon>(settings);
    const base::Status started = daemon->start();
    if (!started)
        return started.lastReason();
    return std::unique_ptr<Daemon>(std::move(daemon));
}

} // namespace zinniadoor::daemon
