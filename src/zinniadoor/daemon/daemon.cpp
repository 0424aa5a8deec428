#include "zinniadoor/daemon/daemon.hpp"

#include <thread>
#include <utility>

#include <sodium.h>

#include "zinniadoor/adapters/curl_endpoint_client.hpp"
#include "zinniadoor/adapters/http_server.hpp"
#include "zinniadoor/adapters/platform_http.hpp"
#include "zinniadoor/base/events.hpp"
#include "zinniadoor/daemon/admin_handler.hpp"
#include "zinniadoor/daemon/core.hpp"

namespace zinniadoor::daemon {

namespace {

constexpr std::size_t CoreRingCapacity = 32768;
constexpr std::size_t AdminConnections = 64;
constexpr absl::Duration StopPoll = absl::Milliseconds(10);
constexpr int StatusUnavailable = 503;

/// Hands callers' requests to the core thread.
class FrontHandler : public ports::CallerHandler
{
public:
    explicit FrontHandler(CoreRing &ring)
        : ring_(ring)
    { }

    void onRequest(std::shared_ptr<ports::CallerExchange> exchange) override
    {
        CoreMessage message = CallerArrived { exchange };
        if (ring_.tryPush(std::move(message)))
            return;
        const ErrorAnswer busy { StatusUnavailable,
                                 { base::ReasonCode::Unavailable, "this instance is too busy" },
                                 RunState::NotRun,
                                 absl::Seconds(1) };
        sendError(*exchange, {}, busy);
    }

    // A lost notice does no harm: the next one, or the tick, looks at the exchange again.
    void onProgress(const std::shared_ptr<ports::CallerExchange> &exchange) override
    {
        ring_.tryPush(CallerProgressed { exchange });
    }

private:
    CoreRing &ring_;
};

adapters::HttpServerOptions frontOptions(const Settings &settings)
{
    adapters::HttpServerOptions options;
    options.address = settings.callers.ip;
    options.port = settings.callers.port;
    options.maxHeaderBytes = settings.limits.maxHeaderBytes;
    options.maxBodyBytes = settings.limits.maxBodyBytes;
    options.connectionLimit = settings.limits.connections;
    options.idleTimeout = settings.limits.idleTimeout;
    options.requestTimeout = settings.limits.requestTimeout;
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
        , ring_(CoreRingCapacity)
        , front_(ring_)
        , endpoints_(adapters::curlEndpointClient({}))
        , tail_({}, adapters::httpLog(platformOptions()), *clock_, ring_)
        , appender_(adapters::httpLog(platformOptions()), ring_)
        , core_({ settings_, *clock_, ring_, *endpoints_, tail_, appender_, metrics_,
                  randomNumber(), newIncarnation() })
        , admin_({ metrics_, [this] { return core_.status(); }, settings.log })
    { }

    ~RunningDaemon() override
    {
        callersServer_.reset();
        adminServer_.reset();
        core_.stop();
        ring_.wake();
        if (coreThread_.joinable())
            coreThread_.join();
        endpoints_.reset();
    }

    base::Status start()
    {
        base::Outcome<std::unique_ptr<ports::CallerServer>> admin
            = adapters::listenHttp(adminOptions(settings_), admin_);
        if (!admin)
            return admin.lastReason();
        adminServer_ = std::move(*admin);
        base::Outcome<std::unique_ptr<ports::CallerServer>> callers
            = adapters::listenHttp(frontOptions(settings_), front_);
        if (!callers)
            return callers.lastReason();
        callersServer_ = std::move(*callers);
        coreThread_ = std::thread([this] { core_.run(); });
        base::logEvent(base::EventId::DaemonStarted, {});
        return base::Done {};
    }

    int callersPort() const override { return callersServer_->port(); }
    int adminPort() const override { return adminServer_->port(); }
    int peersPort() const override { return settings_.peers.port; }

    void stop() override
    {
        while (!ring_.tryPush(StopRequested {}))
            absl::SleepFor(StopPoll);
        const absl::Time giveUpAt = clock_->now() + settings_.limits.drainTimeout;
        while (!core_.status().drained && clock_->now() < giveUpAt)
            absl::SleepFor(StopPoll);
        callersServer_->stopAccepting();
        base::logEvent(base::EventId::DaemonStopped, {});
    }

private:
    adapters::PlatformOptions platformOptions() const
    {
        return { settings_.platform.url, settings_.platform.timeout };
    }

    // Later processes have larger numbers as long as the calendar clock does not go back; a
    // clash would need the same microsecond.
    base::Incarnation newIncarnation() const
    {
        return static_cast<base::Incarnation>(absl::ToUnixMicros(clock_->wallTime()));
    }

    const Settings settings_;
    std::unique_ptr<base::Clock> clock_;
    Metrics metrics_;
    CoreRing ring_;
    FrontHandler front_;
    std::unique_ptr<ports::EndpointClient> endpoints_;
    LogTail tail_;
    LogAppender appender_;
    Core core_;
    AdminHandler admin_;
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
