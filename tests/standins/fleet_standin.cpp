#include "standins/fleet_standin.hpp"

#include <future>
#include <list>
#include <utility>

#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>

#include "absl/strings/ascii.h"
#include "absl/strings/escaping.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace zinniadoor::standins {

namespace {

namespace http = net::http;
using Json = nlohmann::json;

net::Response jsonResponse(http::status status, const Json &body)
{
    net::Response response(status, 11);
    response.set(http::field::content_type, "application/json");
    response.body() = body.dump();
    return response;
}

std::string encodeBigEndian(std::uint64_t value, int bytes)
{
    std::string text;
    for (int i = bytes - 1; i >= 0; --i)
        text.push_back(static_cast<char>(value >> (8 * i) & 0xff));
    return text;
}

/// Parses the "name=value" pairs of a request target's query.
std::map<std::string, std::string> parseQuery(const std::string &target)
{
    std::map<std::string, std::string> query;
    const std::size_t queryStart = target.find('?');
    if (queryStart == std::string::npos)
        return query;
    for (const absl::string_view pair : absl::StrSplit(target.substr(queryStart + 1), '&')) {
        const std::pair<std::string, std::string> entry
            = absl::StrSplit(pair, absl::MaxSplits('=', 1));
        query.insert(entry);
    }
    return query;
}

std::uint64_t queryNumber(const std::map<std::string, std::string> &query, const char *name)
{
    std::uint64_t value = 0;
    const auto found = query.find(name);
    if (found != query.end() && !absl::SimpleAtoi(found->second, &value))
        return 0;
    return value;
}

/// The log store. A long-polling read is answered as soon as a record is appended.
class LogStore : public net::RequestHandler
{
public:
    explicit LogStore(boost::asio::io_context &io)
        : io_(io)
    { }

    void setUnavailable(bool unavailable) { unavailable_ = unavailable; }
    void setLostAppendInterval(int interval) { lostAppendInterval_ = interval; }

    void copy() { copy_ = contents_; }

    /// Goes back to the last copy. Reads in progress end without an answer.
    void restore()
    {
        contents_ = copy_;
        ++era_;
        for (const PendingRead &read : std::exchange(pendingReads_, {})) {
            read.timer->cancel();
            read.responder->abort();
        }
    }

    void appendKeyed(const std::string &topic, const std::string &key, const std::string &value)
    {
        std::string record(1, static_cast<char>(key.size()));
        contents_.logs[topic].push_back(record + key + value);
        contents_.latest[topic][key] = value;
        notifyReaders(topic);
    }

    void onRequest(net::Request request, std::shared_ptr<net::Responder> responder) override
    {
        const std::string target(request.target());
        const auto query = parseQuery(target);
        const auto found = query.find("Topic");
        if (unavailable_ || found == query.end()) {
            answer(*responder, net::Response(http::status::service_unavailable, 11));
            return;
        }
        const std::string &topic = found->second;
        if (absl::StartsWith(target, "/log-append"))
            append(topic, query, request.body(), *responder);
        else if (absl::StartsWith(target, "/log-newest"))
            readLatest(topic, *responder);
        else
            read(topic, query, responder);
    }

private:
    struct Contents
    {
        std::map<std::string, std::vector<std::string>> logs;
        std::map<std::string, std::map<std::string, std::string>> latest;
    };

    struct PendingRead
    {
        std::string topic;
        std::uint64_t from;
        std::shared_ptr<net::Responder> responder;
        std::shared_ptr<boost::asio::steady_timer> timer;
    };

    void answer(net::Responder &responder, net::Response response) const
    {
        response.set("Store-Era", std::to_string(era_));
        responder.answer(std::move(response));
    }

    void append(const std::string &topic, const std::map<std::string, std::string> &query,
                const std::string &body, net::Responder &responder)
    {
        std::vector<std::string> &log = contents_.logs[topic];
        if (query.count("At") > 0 && queryNumber(query, "At") != log.size()) {
            answer(
                responder,
                jsonResponse(http::status::precondition_failed, { { "EndOffset", log.size() } }));
            return;
        }
        const std::uint64_t first = log.size();
        for (std::size_t at = 0; at + 4 <= body.size();) {
            std::size_t length = 0;
            for (int i = 0; i < 4; ++i)
                length = length << 8 | static_cast<unsigned char>(body[at++]);
            log.push_back(body.substr(at, length));
            at += length;
        }
        if (lostAppendInterval_ > 0 && ++appends_ % lostAppendInterval_ == 0)
            responder.abort();
        else
            answer(responder,
                   jsonResponse(http::status::ok,
                                { { "Offset", first }, { "EndOffset", log.size() } }));
        notifyReaders(topic);
    }

    void readLatest(const std::string &topic, net::Responder &responder)
    {
        Json items = Json::array();
        std::uint64_t offset = 0;
        for (const auto &[key, value] : contents_.latest[topic]) {
            if (!value.empty())
                items.push_back({ { "Key", key },
                                  { "Value", absl::Base64Escape(value) },
                                  { "Offset", offset++ } });
        }
        answer(responder,
               jsonResponse(http::status::ok,
                            { { "items", items },
                              { "HasMore", false },
                              { "EndOffset", contents_.logs[topic].size() } }));
    }

    void read(const std::string &topic, const std::map<std::string, std::string> &query,
              const std::shared_ptr<net::Responder> &responder)
    {
        const std::uint64_t from = queryNumber(query, "From");
        const std::uint64_t wait = queryNumber(query, "WaitMs");
        if (from != contents_.logs[topic].size() || wait == 0) {
            answerRead(topic, from, *responder);
            return;
        }
        auto timer = std::make_shared<boost::asio::steady_timer>(io_);
        pendingReads_.push_back({ topic, from, responder, timer });
        timer->expires_after(std::chrono::milliseconds(wait));
        timer->async_wait([this, timer](boost::system::error_code error) {
            for (auto it = pendingReads_.begin(); !error && it != pendingReads_.end(); ++it) {
                if (it->timer != timer)
                    continue;
                answerRead(it->topic, it->from, *it->responder);
                pendingReads_.erase(it);
                return;
            }
        });
    }

    void answerRead(const std::string &topic, std::uint64_t from, net::Responder &responder)
    {
        const std::vector<std::string> &log = contents_.logs[topic];
        if (from > log.size()) {
            answer(responder, jsonResponse(http::status::gone, { { "FirstOffset", 0 } }));
            return;
        }
        net::Response response(http::status::ok, 11);
        response.body() = encodeBigEndian(log.size(), 8) + encodeBigEndian(0, 8);
        for (std::uint64_t at = from; at < log.size(); ++at)
            response.body() += encodeBigEndian(log[at].size(), 4) + log[at];
        answer(responder, std::move(response));
    }

    void notifyReaders(const std::string &topic)
    {
        for (auto it = pendingReads_.begin(); it != pendingReads_.end();) {
            if (it->topic != topic) {
                ++it;
                continue;
            }
            it->timer->cancel();
            answerRead(topic, it->from, *it->responder);
            it = pendingReads_.erase(it);
        }
    }

    boost::asio::io_context &io_;
    bool unavailable_ = false;
    int lostAppendInterval_ = 0;
    int appends_ = 0;
    std::uint64_t era_ = 1;
    Contents contents_;
    Contents copy_;
    std::list<PendingRead> pendingReads_;
};

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

/// Plain service that records requests and, on `/stream...`, sends an event stream.
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
        if (!absl::StartsWith(call.path, "/stream")) {
            response.body() = absl::StrCat("answer of ", id_, " to ", call.requestId);
            responder->answer(std::move(response));
            return;
        }
        responder->begin(response.base());
        sendEvent(responder, 1);
    }

private:
    void sendEvent(const std::shared_ptr<net::Responder> &responder, int number)
    {
        if (number > events_) {
            responder->finish();
            return;
        }
        responder->send(absl::StrCat("id: ", number, "\ndata: event ", number, "\n\n"));
        auto timer = std::make_shared<boost::asio::steady_timer>(io_, pause_);
        timer->async_wait([this, timer, responder, number](boost::system::error_code error) {
            if (!error)
                sendEvent(responder, number + 1);
        });
    }

    boost::asio::io_context &io_;
    std::string id_;
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

    LogStore store;
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
        impl_->store.appendKeyed("keyed.servers", id, record.dump());
    });
}

void FleetStandin::unlistEndpoint(const std::string &id)
{
    runOnEventThread([&] { impl_->store.appendKeyed("keyed.servers", id, ""); });
}

void FleetStandin::publish(const std::string &configuration)
{
    runOnEventThread([&] { impl_->store.appendKeyed("keyed.op", "config", configuration); });
}

void FleetStandin::setStoreUnavailable(bool unavailable)
{
    runOnEventThread([&] { impl_->store.setUnavailable(unavailable); });
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
