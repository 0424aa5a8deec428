#include "take_up_fleet.hpp"

#include <string_view>
#include <utility>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

namespace zinniadoor::e2e {

namespace {

using Json = nlohmann::json;
using soak::FaultProxy;
using soak::LinkState;

constexpr int StreamEvents = 4;
constexpr std::chrono::milliseconds EventPause(20);
constexpr std::size_t StreamsPerVersion = 12; // Some of them have no notes at a given instance.
constexpr std::size_t BeginsAtOnce = 24; // More than the endpoints of one version hold.
constexpr int MaxBatches = 40;
constexpr int EventsBeforeLeaving = StreamEvents - 1;
constexpr absl::Duration TrialInterval = absl::Milliseconds(200);

/// Several times what an instance follows the log before it concludes from the list of endpoints.
constexpr absl::Duration FollowingTimeout = absl::Seconds(60);

/// In which requests reach the sockets of a process that stands still.
constexpr absl::Duration SettlingTime = absl::Milliseconds(200);

std::string pathOf(const std::string &service)
{
    return absl::StrCat("/resume/", service, "/");
}

/// Leaves before the stream ends. Returns the version that its first event names.
std::string callAndLeave(const HttpRequest &request)
{
    std::string received;
    callStreamed(request, [&](std::string_view data) {
        received.append(data);
        return static_cast<int>(sseData(received).size()) < EventsBeforeLeaving;
    });
    const std::vector<std::string> events = sseData(received);
    return events.empty() ? "" : events.front().substr(events.front().rfind(' ') + 1);
}

} // namespace

TakeUpFleet::TakeUpFleet(const std::vector<std::string> &services)
    : services_(services)
{
    platform_.configureStreams(StreamEvents, EventPause);
}

void TakeUpFleet::start()
{
    publish();
    for (std::size_t i = 0; i < InstanceCount; ++i) {
        storeLinks_.push_back(std::make_unique<FaultProxy>(platform_.storeAddress()));
        gateways_.push_back(std::make_unique<GatewayProcess>(
            absl::StrCat("gw-", i), storeLinks_[i]->address(), platform_.dutiesAddress()));
    }
    for (const auto &gateway : gateways_)
        BOOST_REQUIRE(waitUntil([&] { return gateway->ready() == 200; }));
}

void TakeUpFleet::list(const std::string &service, const std::string &version, int endpoints)
{
    for (int i = 0; i < endpoints; ++i) {
        const std::string id = absl::StrCat(service, "-", version, "-", i);
        platform_.startEndpoint(id);
        platform_.setVersion(id, version);
        platform_.listEndpoint(id, service, "ready");
        listed_[service].push_back(id);
    }
}

void TakeUpFleet::renew(const std::string &service)
{
    for (const std::string &id : listed_[service])
        platform_.listEndpoint(id, service, "ready");
}

void TakeUpFleet::awaitTrustInList(std::size_t instance, const std::string &service)
{
    std::string last;
    const auto trusts = [&] {
        const Stream unknown { newId(), service, "" };
        const HttpResponse response = takeUp(instance, unknown);
        if (response.status == 200)
            return true;
        last = describe(instance, unknown, response);
        renew(service);
        absl::SleepFor(TrialInterval);
        return false;
    };
    BOOST_REQUIRE_MESSAGE(waitUntil(trusts, FollowingTimeout), last);
}

void TakeUpFleet::freeze(const Instances &instances)
{
    for (const std::size_t i : instances)
        gateways_[i]->process().freeze();
}

void TakeUpFleet::thaw(const Instances &instances)
{
    for (const std::size_t i : instances)
        gateways_[i]->process().thaw();
}

void TakeUpFleet::cutFromStore(std::size_t instance)
{
    storeLinks_[instance]->set(LinkState::Silent);
}

// Connections cannot continue after bytes were discarded.
void TakeUpFleet::restoreStoreLink(std::size_t instance)
{
    storeLinks_[instance]->set(LinkState::Good);
    storeLinks_[instance]->resetOpenConnections();
}

void TakeUpFleet::recover()
{
    for (std::size_t i = 0; i < InstanceCount; ++i) {
        restoreStoreLink(i);
        if (gateways_[i]->process().isRunning())
            gateways_[i]->process().thaw();
        else
            gateways_[i]->start();
    }
    for (const auto &gateway : gateways_)
        BOOST_TEST(waitUntil([&] { return gateway->ready() == 200; }));
}

Streams TakeUpFleet::begin(const Instances &instances, const std::string &service,
                           const std::string &version)
{
    Streams streams;
    for (int batch = 0; batch < MaxBatches && streams.size() < StreamsPerVersion; ++batch) {
        std::vector<std::future<Stream>> begun;
        for (std::size_t i = 0; i < BeginsAtOnce; ++i) {
            const std::size_t instance = instances[i % instances.size()];
            Stream stream { newId(), service, "" };
            begun.push_back(
                std::async(std::launch::async,
                           [stream, request = newRequest(instance, service, stream.id)]() mutable {
                               stream.version = callAndLeave(request);
                               return stream;
                           }));
        }
        for (std::future<Stream> &one : begun) {
            Stream stream = one.get();
            if (stream.version == version && streams.size() < StreamsPerVersion)
                streams.push_back(std::move(stream));
        }
    }
    BOOST_REQUIRE(streams.size() == StreamsPerVersion);
    return streams;
}

HttpResponse TakeUpFleet::takeUp(std::size_t instance, const Stream &stream)
{
    return call(takeUpRequest(instance, stream));
}

HttpResponses TakeUpFleet::sendTakeUps(std::size_t instance, const Streams &streams)
{
    HttpResponses responses;
    responses.reserve(streams.size());
    for (const Stream &stream : streams) {
        responses.push_back(
            std::async(std::launch::async,
                       [request = takeUpRequest(instance, stream)] { return call(request); }));
    }
    absl::SleepFor(SettlingTime);
    return responses;
}

void TakeUpFleet::check(std::size_t instance, const Stream &stream, const HttpResponse &response,
                        Rule rule)
{
    const std::string end = absl::StrCat(" of ", stream.version);
    const std::vector<std::string> events = sseData(response.body);
    for (const std::string &event : events)
        BOOST_TEST(absl::EndsWith(event, end),
                   "ORDER " << event << "; " << describe(instance, stream, response));
    if (rule == Rule::GoesOn)
        BOOST_TEST(
            (response.status == 200 && response.complete && events.size() == StreamEvents - 1),
            "LOST " << describe(instance, stream, response));
}

void TakeUpFleet::check(std::size_t instance, const Streams &streams, HttpResponses &responses,
                        Rule rule)
{
    for (std::size_t i = 0; i < streams.size(); ++i)
        check(instance, streams[i], responses[i].get(), rule);
}

void TakeUpFleet::checkTakeUps(std::size_t instance, const Streams &streams, Rule rule)
{
    HttpResponses responses = sendTakeUps(instance, streams);
    check(instance, streams, responses, rule);
}

void TakeUpFleet::publish()
{
    Json routes = Json::array();
    Json services = Json::array();
    for (const std::string &service : services_) {
        services.push_back({ { "Name", service } });
        routes.push_back({ { "Name", pathOf(service) },
                           { "Host", "h" },
                           { "PathPrefix", pathOf(service) },
                           { "RouteType", "streaming" },
                           { "Resumable", true },
                           { "TimeoutMs", 20000 },
                           { "TargetLatencyMs", 20000 },
                           { "MaxAttempts", 3 },
                           { "Service", service } });
    }
    const Json tenants = Json::array({ { { "Name", "shop" }, { "ApiKeys", { "key-1" } } } });
    const Json configuration = {
        { "Version", 1 }, { "Routes", routes }, { "Services", services }, { "Tenants", tenants }
    };
    platform_.publish(configuration.dump());
}

std::string TakeUpFleet::newId()
{
    return absl::StrCat("r", ++requests_);
}

HttpRequest TakeUpFleet::newRequest(std::size_t instance, const std::string &service,
                                    const std::string &id)
{
    HttpRequest request;
    request.method = "POST";
    request.url = gateways_[instance]->url(absl::StrCat(pathOf(service), "a"));
    request.headers = { "Host: h", absl::StrCat("X-Zinniadoor-Request-Id: ", id),
                        "Authorization: Bearer key-1" };
    request.body = absl::StrCat("question ", id);
    return request;
}

HttpRequest TakeUpFleet::takeUpRequest(std::size_t instance, const Stream &stream)
{
    HttpRequest request = newRequest(instance, stream.service, newId());
    request.headers.emplace_back("Last-Event-Id: 1");
    request.headers.emplace_back(absl::StrCat("Resumes: ", stream.id));
    return request;
}

std::string TakeUpFleet::describe(std::size_t instance, const Stream &stream,
                                  const HttpResponse &response)
{
    std::string text = absl::StrCat(stream.id, ", begun at ", stream.version, ", at gw-", instance,
                                    ": ", response.status, " ", response.error);
    for (const std::string &line : gateways_[instance]->process().output()) {
        if (absl::StrContains(line, absl::StrCat("\"stream\":\"", stream.id, "\"")))
            absl::StrAppend(&text, "\n  ", line);
    }
    return text;
}

} // namespace zinniadoor::e2e
