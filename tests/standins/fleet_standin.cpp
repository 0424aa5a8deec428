#include "standins/fleet_standin.hpp"

#include <future>
#include <utility>

#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

#include "standins/log_store_standin.hpp"

namespace zinniadoor::standins {

namespace {

namespace http = net::http;
using Json = nlohmann::json;

/// Interface for usage reports and orders; rejects stale fencing numbers.
class DutiesHandler : public net::RequestHandler
{
public:
    void onRequest(net::Request request, std::shared_ptr<net::Responder> responder) override
    {
        DutyCall call;
        call.path = std::string(request.target());
        call.holder = std::string(request["X-Zinniadoor-Lease-Holder"]);
        const auto number = request["X-Zinniadoor-Fencing-Token"];
        if (!absl::SimpleAtoi(absl::string_view(number.data(), number.size()), &call.fencingNumber))
            call.fencingNumber = 0;
        call.body = request.body();
        const bool stale = call.fencingNumber < highestFencingNumber_;
        highestFencingNumber_ = std::max(highestFencingNumber_, call.fencingNumber);
        if (!stale)
            calls.push_back(std::move(call));
        responder->answer(net::Response(stale ? http::status::conflict : http::status::ok, 11));
    }

    std::vector<DutyCall> calls;

private:
    std::uint64_t highestFencingNumber_ = 0;
};

/// Plain service that records requests and, on `/stream...` and `/resume...`, sends an event
/// stream.
class Endpoint : public net::RequestHandler
{
public:
    Endpoint(boost::asio::io_context &io, std::string id, std::vector<EndpointCall> &calls,
             const int &events, const std::chrono::milliseconds &pause)
        : io_(io)
        , id_(std::move(id))
        , calls_(calls)
        , events_(events)
        , pause_(pause)
    { }

    void setVersion(const std::string &version) { version_ = version; }
    const std::string &version() const { return version_; }

    void onRequest(net::Request request, std::shared_ptr<net::Responder> responder) override
    {
        EndpointCall call;
        call.endpoint = id_;
        call.path = std::string(request.target());
        call.requestId = std::string(request["X-Zinniadoor-Request-Id"]);
        for (const auto &field : request) {
            const std::string name(field.name_string());
            call.fields[absl::AsciiStrToLower(name)] = std::string(field.value());
        }
        calls_.push_back(call);
        net::Response response(http::status::ok, 11);
        response.set("X-Zinniadoor-Request-Id", call.requestId);
        response.set("X-Zinniadoor-Server-Signature", "signed-by-" + id_);
        if (!absl::StartsWith(call.path, "/stream") && !absl::StartsWith(call.path, "/resume")) {
            response.body() = absl::StrCat("answer of ", id_, " to ", call.requestId);
            responder->answer(std::move(response));
            return;
        }
        responder->begin(response.base());
        const auto last = request["Last-Event-Id"];
        int lastEvent = 0;
        if (!absl::SimpleAtoi(absl::string_view(last.data(), last.size()), &lastEvent))
            lastEvent = 0;
        sendEvent(responder, lastEvent + 1);
    }

private:
    void sendEvent(const std::shared_ptr<net::Responder> &responder, int number)
    {
        if (number > events_) {
            responder->finish();
            return;
        }
        const std::string of = version_.empty() ? "" : absl::StrCat(" of ", version_);
        responder->send(absl::StrCat("id: ", number, "\ndata: event ", number, of, "\n\n"));
        auto timer = std::make_shared<boost::asio::steady_timer>(io_, pause_);
        timer->async_wait([this, timer, responder, number](boost::system::error_code error) {
            if (!error)
                sendEvent(responder, number + 1);
        });
    }

    boost::asio::io_context &io_;
    std::string id_;
    std::string version_;
    std::vector<EndpointCall> &calls_;
    const int &events_;
    const std::chrono::milliseconds &pause_;
};

} // namespace

struct FleetStandin::Impl
{
    explicit Impl(boost::asio::io_context &io)
        : store(io)
    { }

    LogStoreStandin store;
    DutiesHandler duties;
    std::unique_ptr<net::HttpServer> storeServer;
    std::unique_ptr<net::HttpServer> dutiesServer;
    std::map<std::string, std::unique_ptr<Endpoint>> endpoints;
    std::map<std::string, std::unique_ptr<net::HttpServer>> endpointServers;
    std::vector<EndpointCall> endpointCalls;
    int events = 3;
    std::chrono::milliseconds pause { 5 };
};

namespace {

/// Limits above those of the gateways under test, which are the ones that apply.
constexpr std::size_t MaxBodyBytes = std::size_t { 16 } * 1024 * 1024;
constexpr absl::Duration RequestTimeout = absl::Minutes(1);

std::unique_ptr<net::HttpServer> listenOrAbort(boost::asio::io_context &io,
                                               net::RequestHandler &handler)
{
    net::ServerLimits limits;
    limits.maxBodyBytes = MaxBodyBytes;
    limits.requestTimeout = RequestTimeout;
    auto server = net::listenHttp(io, "127.0.0.1:0", limits, handler);
    if (!server)
        std::abort();
    return std::move(*server);
}

} // namespace

FleetStandin::FleetStandin()
    : work_(boost::asio::make_work_guard(io_))
    , impl_(std::make_unique<Impl>(io_))
{
    impl_->storeServer = listenOrAbort(io_, impl_->store);
    impl_->dutiesServer = listenOrAbort(io_, impl_->duties);
    thread_ = std::thread([this] { io_.run(); });
}

FleetStandin::~FleetStandin()
{
    io_.stop();
    thread_.join();
}

void FleetStandin::runOnEventThread(const std::function<void()> &action)
{
    std::promise<void> done;
    boost::asio::post(io_, [&] {
        action();
        done.set_value();
    });
    done.get_future().wait();
}

std::string FleetStandin::storeAddress() const
{
    return absl::StrCat("127.0.0.1:", impl_->storeServer->port());
}

std::string FleetStandin::dutiesAddress() const
{
    return absl::StrCat("127.0.0.1:", impl_->dutiesServer->port());
}

std::string FleetStandin::startEndpoint(const std::string &id)
{
    std::string address;
    runOnEventThread([&] {
        impl_->endpoints[id] = std::make_unique<Endpoint>(io_, id, impl_->endpointCalls,
                                                          impl_->events, impl_->pause);
        impl_->endpointServers[id] = listenOrAbort(io_, *impl_->endpoints[id]);
        address = absl::StrCat("127.0.0.1:", impl_->endpointServers[id]->port());
    });
    return address;
}

void FleetStandin::addEndpoint(const std::string &id, const std::string &service,
                               const std::string &state)
{
    startEndpoint(id);
    listEndpoint(id, service, state);
}

void FleetStandin::listEndpoint(const std::string &id, const std::string &service,
                                const std::string &state, const std::string &address,
                                std::uint64_t startTimeMs)
{
    runOnEventThread([&] {
        const std::string own = absl::StrCat("127.0.0.1:", impl_->endpointServers[id]->port());
        Json record = { { "Service", service },
                        { "Address", address.empty() ? own : address },
                        { "Zone", "dc" },
                        { "Slots", 8 },
                        { "State", state } };
        if (startTimeMs > 0)
            record["born"] = startTimeMs;
        if (!impl_->endpoints[id]->version().empty())
            record["Version"] = impl_->endpoints[id]->version();
        impl_->store.appendKeyed("keyed.servers", id, record.dump());
    });
}

void FleetStandin::unlistEndpoint(const std::string &id)
{
    runOnEventThread([&] { impl_->store.appendKeyed("keyed.servers", id, ""); });
}

void FleetStandin::setVersion(const std::string &id, const std::string &version)
{
    runOnEventThread([&] { impl_->endpoints[id]->setVersion(version); });
}

void FleetStandin::crashEndpoint(const std::string &id)
{
    runOnEventThread([&] { impl_->endpointServers[id]->close(); });
}

void FleetStandin::publish(const std::string &configuration)
{
    runOnEventThread([&] { impl_->store.appendKeyed("keyed.op", "config", configuration); });
}

void FleetStandin::setStoreUnavailable(bool unavailable)
{
    setStoreState(unavailable ? StoreState::Rejecting : StoreState::Up);
}

void FleetStandin::setStoreState(StoreState state)
{
    runOnEventThread([&] { impl_->store.setState(state); });
}

void FleetStandin::setStoreLimits(const StoreLimits &limits)
{
    runOnEventThread([&] { impl_->store.setLimits(limits); });
}

std::map<std::string, StoreWork> FleetStandin::storeWork()
{
    std::map<std::string, StoreWork> work;
    runOnEventThread([&] { work = impl_->store.work(); });
    return work;
}

void FleetStandin::copyStore()
{
    runOnEventThread([&] { impl_->store.copy(); });
}

void FleetStandin::restoreStore()
{
    runOnEventThread([&] { impl_->store.restore(); });
}

void FleetStandin::setLostAppendInterval(int interval)
{
    runOnEventThread([&] { impl_->store.setLostAppendInterval(interval); });
}

void FleetStandin::configureStreams(int events, std::chrono::milliseconds pause)
{
    runOnEventThread([&] {
        impl_->events = events;
        impl_->pause = pause;
    });
}

std::vector<DutyCall> FleetStandin::dutyCalls()
{
    std::vector<DutyCall> calls;
    runOnEventThread([&] { calls = impl_->duties.calls; });
    return calls;
}

std::vector<EndpointCall> FleetStandin::endpointCalls()
{
    std::vector<EndpointCall> calls;
    runOnEventThread([&] { calls = impl_->endpointCalls; });
    return calls;
}

} // namespace zinniadoor::standins
