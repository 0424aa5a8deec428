#include "zinniadoor/serving/router.hpp"

#include <map>
#include <utility>

#include <boost/test/unit_test.hpp>

namespace {

using namespace zinniadoor;
using namespace zinniadoor::serving;

struct RouterFixture
{
    EndpointTable table;
    RouterOptions options;
    absl::Time now = absl::FromUnixSeconds(1000);
    std::uint64_t seed = 1;
    RequestFacts request;

    RouterFixture()
    {
        request.model = base::ModelId("m");
        request.promptTokens = 1000;
        options.dataCentre = base::DataCentreId("dc1");
    }

    static control::Endpoint endpoint(const std::string &id)
    {
        control::Endpoint endpoint;
        endpoint.id = base::EndpointId(id);
        endpoint.dataCentre = base::DataCentreId("dc1");
        endpoint.models = { base::ModelId("m") };
        endpoint.slots = 4;
        return endpoint;
    }

    void send(const std::string &id, int count, const std::string &prefix = "r")
    {
        for (int i = 0; i < count; ++i) {
            RequestFacts facts = request;
            facts.id = base::RequestId(prefix + id + std::to_string(i));
            table.noteSent(base::EndpointId(id), facts, now);
        }
    }

    std::map<std::string, int> chooseMany(Router &router, int count)
    {
        std::map<std::string, int> chosen;
        for (int i = 0; i < count; ++i) {
            const auto choice = router.choose(RouteQuery(request), table, now, seed++);
            ++chosen[choice.endpoint ? choice.endpoint->str() : "none"];
        }
        return chosen;
    }
};

BOOST_FIXTURE_TEST_SUITE(RouterTest, RouterFixture)

BOOST_AUTO_TEST_CASE(router_drainingLeavingOrEjectedEndpoints_areNotChosen)
{
    table.setEndpoints({ endpoint("a"), endpoint("b"), endpoint("c"), endpoint("d") });
    table.setState(base::EndpointId("a"), EndpointState::Draining);
    table.setState(base::EndpointId("b"), EndpointState::Leaving);
    table.setWeight(base::EndpointId("c"), 0);
    for (auto make : { roundRobinRouter, leastInFlightRouter, firstTokenRouter }) {
        const auto router = make(options);
        BOOST_TEST(chooseMany(*router, 50)["d"] == 50);
    }
}

BOOST_AUTO_TEST_CASE(router_unknownModel_refusesAsUnavailable)
{
    table.setEndpoints({ endpoint("a") });
    request.model = base::ModelId("other");
    const auto choice = firstTokenRouter(options)->choose(RouteQuery(request), table, now, seed);
    BOOST_TEST(!choice.endpoint.has_value());
    BOOST_TEST((choice.refusal.reason.code == base::ReasonCode::Unavailable));
}

BOOST_AUTO_TEST_CASE(router_allEndpointsFull_refusesWithRetryAfter)
{
    table.setEndpoints({ endpoint("a") });
    send("a", 4);
    const auto choice = firstTokenRouter(options)->choose(RouteQuery(request), table, now, seed);
    BOOST_TEST(!choice.endpoint.has_value());
    BOOST_TEST((choice.refusal.reason.code == base::ReasonCode::Overloaded));
    BOOST_TEST(choice.refusal.retryAfter == absl::Milliseconds(500));
}

BOOST_AUTO_TEST_CASE(router_workOfPeers_countsAsLoad)
{
    table.setEndpoints({ endpoint("a"), endpoint("b") });
    PeerLoad load;
    load.endpoint = base::EndpointId("a");
    load.work.requests = 3;
    load.work.prefillTokens = 20000;
    table.setPeerLoads(base::InstanceId("peer"), { load }, now);
    const auto router = firstTokenRouter(options);
    BOOST_TEST(chooseMany(*router, 50)["b"] == 50);
    table.removePeer(base::InstanceId("peer"), now);
    BOOST_TEST(chooseMany(*router, 50)["a"] > 10);
}

BOOST_AUTO_TEST_CASE(table_unattributedWorkInReport_countsUntilReportAges)
{
    table.setEndpoints({ endpoint("a") });
    send("a", 1);
    LoadReport report;
    report.running = 3;
    report.sampledAt = now;
    table.noteReport(base::EndpointId("a"), report);
    const EndpointView *view = table.find(base::EndpointId("a"));
    BOOST_TEST(view->requests(now) == 3.0);
    BOOST_TEST(view->requests(now + absl::Seconds(20)) == 1.0);
}

BOOST_AUTO_TEST_CASE(router_prefixCached_isPreferredUnlessLoaded)
{
    table.setEndpoints({ endpoint("a"), endpoint("b"), endpoint("c"), endpoint("d") });
    request.prefixes = { 11, 12, 13 };
    request.promptTokens = 7000;
    table.noteCacheEvents(base::EndpointId("c"),
                          { { 1, CacheEventKind::Stored, 11 },
                            { 2, CacheEventKind::Stored, 12 },
                            { 3, CacheEventKind::Stored, 13 } });
    const auto router = firstTokenRouter(options);
    BOOST_TEST(chooseMany(*router, 50)["c"] == 50);
    const auto prefixes = std::exchange(request.prefixes, {});
    send("c", 3);
    request.prefixes = prefixes;
    BOOST_TEST(chooseMany(*router, 50)["c"] == 0);
}

BOOST_AUTO_TEST_CASE(prefixDigests_anyWhitespace_coverWholeBlocks)
{
    std::string text;
    for (int i = 0; i < 4001; ++i)
        text += "w" + std::to_string(i) + (i % 2 == 0 ? " " : "\n\t");
    const auto digests = prefixDigests(text);
    BOOST_REQUIRE(digests.size() == 2);
    BOOST_TEST((prefixDigests("  " + text) == digests));
    BOOST_TEST(prefixFromName(nameOfPrefix(digests[1])) == digests[1]);
    BOOST_TEST(estimateTokens(text) == 4001);
}

BOOST_AUTO_TEST_CASE(prefixView_sequenceGap_halvesConfidence)
{
    PrefixView view;
    view.apply({ { 1, CacheEventKind::Stored, 5 } });
    BOOST_TEST(view.expectedTokens({ 5 }) == 2000.0);
    view.apply({ { 4, CacheEventKind::Stored, 6 } });
    BOOST_TEST(view.expectedTokens({ 5 }) == 1000.0);
    view.apply({ { 2, CacheEventKind::Evicted, 5 } });
    BOOST_TEST(view.expectedTokens({ 5 }) == 1000.0);
}

BOOST_AUTO_TEST_CASE(router_deferableRequest_prefersReclaimableAndKeepsReserve)
{
    control::Endpoint cheap = endpoint("cheap");
    cheap.reclaimable = true;
    table.setEndpoints({ endpoint("regular"), cheap });
    request.urgency = Urgency::Deferable;
    const auto router = firstTokenRouter(options);
    BOOST_TEST(chooseMany(*router, 20)["cheap"] == 20);
    send("cheap", 3);
    BOOST_TEST(chooseMany(*router, 20)["regular"] == 20);
    send("regular", 3);
    BOOST_TEST(chooseMany(*router, 20)["none"] == 20);
    request.urgency = Urgency::Urgent;
    BOOST_TEST(chooseMany(*router, 20)["none"] == 0);
}

BOOST_AUTO_TEST_CASE(router_urgentShareOnReclaimableExceeded_prefersRegular)
{
    control::Endpoint cheap = endpoint("cheap");
    cheap.reclaimable = true;
    cheap.slots = 100;
    table.setEndpoints({ endpoint("regular"), cheap });
    send("cheap", 10);
    BOOST_TEST(chooseMany(*firstTokenRouter(options), 20)["regular"] == 20);
}

BOOST_AUTO_TEST_CASE(router_fullFleetAndOwnShareExceeded_leavesLastSlotsToPeers)
{
    options.fullFleetShare = 0.9;
    control::Endpoint large = endpoint("a");
    large.slots = 10;
    table.setEndpoints({ large });
    PeerLoad load;
    load.endpoint = base::EndpointId("a");
    load.work.requests = 3;
    load.work.urgent = 3;
    table.setPeerLoads(base::InstanceId("peer"), { load }, now);
    const auto router = firstTokenRouter(options);
    send("a", 5);
    BOOST_TEST(chooseMany(*router, 20)["none"] == 0);
    send("a", 6);
    BOOST_TEST(chooseMany(*router, 20)["none"] == 20);
}

BOOST_AUTO_TEST_CASE(router_tooFewFreeKvPages_choosesAnother)
{
    table.setEndpoints({ endpoint("a"), endpoint("b") });
    send("a", 1);
    LoadReport report;
    report.running = 1;
    report.kvPages = 10;
    report.kvPagesFree = 0;
    report.sampledAt = now;
    table.noteReport(base::EndpointId("a"), report);
    BOOST_TEST(chooseMany(*firstTokenRouter(options), 20)["b"] == 20);
}

BOOST_AUTO_TEST_CASE(router_equalEstimates_choosesCheaper)
{
    control::Endpoint cheap = endpoint("cheap");
    cheap.pricePerHour = 1;
    control::Endpoint expensive = endpoint("expensive");
    expensive.pricePerHour = 2;
    table.setEndpoints({ expensive, cheap });
    BOOST_TEST(chooseMany(*firstTokenRouter(options), 20)["cheap"] == 20);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
