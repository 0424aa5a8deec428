#include "gateway_main.hpp"

#include <csignal>
#include <iostream>

#include <malloc.h>

#include <boost/asio/signal_set.hpp>
#include <sodium.h>

#include "zinniadoor/base/events.hpp"
#include "zinniadoor/gateway/gateway.hpp"
#include "zinniadoor/net/event_loop.hpp"
#include "zinniadoor/platform/platform.hpp"

namespace zinniadoor::daemon {

namespace {

using base::EventId;
using base::logEvent;

constexpr int ExitOk = 0;
constexpr int ExitFailed = 1;
constexpr int ExitUsage = 2;

/// The platform usually responds within a few milliseconds, and in slow cases takes tens of times
/// as long.
constexpr absl::Duration PlatformTimeout = absl::Milliseconds(800);

/// The network path is considered broken if sent bytes remain unacknowledged for longer.
constexpr absl::Duration UnackedTimeout = absl::Milliseconds(900);

/// Connections idle for longer are not reused; the platform may announce a shorter idle timeout.
constexpr absl::Duration IdleLimit = absl::Seconds(5);
/// Larger allocations return to the system when freed. glibc would raise its limit with the first
/// large body and keep the memory of later ones.
constexpr int MapThreshold = 128 * 1024;
constexpr std::size_t MaxResponseHeadBytes = std::size_t { 32 } * 1024;

void watchSignals(boost::asio::signal_set &signals, gateway::Gateway &gateway,
                  const std::string &file, boost::asio::io_context &io)
{
    signals.async_wait([&signals, &gateway, &file, &io](boost::system::error_code error,
                                                        int signal) {
        if (error)
            return;
        if (signal != SIGHUP) {
            gateway.stop([&io] { io.stop(); });
            return;
        }
        const auto settings = gateway::loadGatewaySettings(file);
        if (settings)
            gateway.reload(*settings);
        else
            logEvent(EventId::SettingsReloadFailed, { { "reason", settings.lastReason().text } });
        watchSignals(signals, gateway, file, io);
    });
}

int serve(const gateway::GatewaySettings &settings, const std::string &file)
{
    boost::asio::io_context io(1);
    boost::asio::signal_set signals(io, SIGTERM, SIGINT, SIGHUP);
    const auto clock = base::systemClock();
    const auto client
        = net::makeHttpClient(io, { UnackedTimeout, IdleLimit, MaxResponseHeadBytes });
    const auto callers = platform::makeCallerDialect();
    const auto endpoints = platform::makeEndpointDialect();
    const auto decoder = platform::makeRecordDecoder();
    const auto store = platform::makeLogStore(io, *client, { settings.store, PlatformTimeout });
    const auto duties = platform::makeDutyClient(
        io, *client, { { settings.duties, PlatformTimeout }, settings.instance.str() });
    auto gateway
        = gateway::startGateway(io, settings,
                                { clock.get(), client.get(), callers.get(), endpoints.get(),
                                  decoder.get(), store.get(), duties.get() });
    if (!gateway) {
        logEvent(EventId::GatewayFailed, { { "reason", gateway.lastReason().text } });
        base::flushLogging();
        return ExitFailed;
    }
    watchSignals(signals, **gateway, file, io);
    // Its state is unknown after an exception: the requests in progress are answered first.
    const bool ok
        = net::runEventLoop(io, [&io, &gateway] { (*gateway)->stop([&io] { io.stop(); }); });
    base::flushLogging();
    return ok ? ExitOk : ExitFailed;
}

} // namespace

int gatewayMain(const std::string &file, bool checkOnly)
{
    const auto settings = gateway::loadGatewaySettings(file);
    if (!settings) {
        std::cerr << settings.lastReason().text << "\n";
        return ExitUsage;
    }
    if (checkOnly)
        return ExitOk;
    std::signal(SIGPIPE, SIG_IGN);
    mallopt(M_MMAP_THRESHOLD, MapThreshold);
    if (sodium_init() < 0)
        return ExitFailed;
    base::startLogging(settings->log);
    return serve(*settings, file);
}

} // namespace zinniadoor::daemon
