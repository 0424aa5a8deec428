// Streams that were taken up at instances with an outdated list of endpoints, or without notes of
// the stream, went on at another software version than the one whose events the caller had.

#include <functional>

#include <boost/test/unit_test.hpp>

#include "take_up_fleet.hpp"

namespace {

using namespace zinniadoor;
using e2e::HttpResponse;
using e2e::HttpResponses;
using e2e::Instances;
using e2e::Stream;
using e2e::Streams;
using e2e::TakeUpFleet;
using Rule = TakeUpFleet::Rule;

constexpr int OldEndpoints = 2;
constexpr int NewEndpoints = 4;

/// Whose datagrams lie before those of the new version.
constexpr int BeginsBeforeVersion = 10;

/// One for each case, whose second version joins in it.
const std::vector<std::string> Services
    = { "paused", "no-store", "cut-off", "most-paused", "restarted", "keepers-gone" };

std::unique_ptr<TakeUpFleet> fleet;

/// For all cases: instances conclude from a list only after they have followed it for long.
struct FleetOfSuite
{
    static void setup()
    {
        fleet = std::make_unique<TakeUpFleet>(Services);
        for (const std::string &service : Services)
            fleet->list(service, "v1", OldEndpoints);
        fleet->start();
        for (std::size_t i = 0; i < TakeUpFleet::InstanceCount; ++i) {
            for (const std::string &service : Services) {
                if (service != "keepers-gone") // Whose records are old, since none is renewed.
                    fleet->awaitTrustInList(i, service);
            }
        }
    }
    static void teardown() { fleet.reset(); }
};

/// All instances run and have their links after each case.
struct OutdatedTakeUpFixture
{
    ~OutdatedTakeUpFixture() { fleet->recover(); }

    /// Begins streams of the first version, calls `isolate`, and lets the second one join and begin
    /// others.
    static Streams beginWhileVersionJoins(const Instances &instances, const std::string &service,
                                          const std::function<void()> &isolate)
    {
        Streams streams = fleet->begin(instances, service, "v1");
        isolate();
        fleet->list(service, "v2", NewEndpoints);
        for (const Stream &stream : fleet->begin(instances, service, "v2"))
            streams.push_back(stream);
        return streams;
    }
};

} // namespace

BOOST_TEST_DECORATOR(*boost::unit_test::fixture<FleetOfSuite>())
BOOST_FIXTURE_TEST_SUITE(OutdatedTakeUpTest, OutdatedTakeUpFixture)

// An instance that stood still concluded from its list, or read no answers before its questions
// ended.
BOOST_AUTO_TEST_CASE(takeUps_instanceWasPaused_goOnAtTheirVersion)
{
    fleet->renew("paused");
    const Instances others = { 0, 1, 2, 3, 4 };
    const Streams streams = beginWhileVersionJoins(others, "paused", [&] {
        fleet->freeze({ 5 });
        for (int i = 0; i < BeginsBeforeVersion; ++i)
            fleet->begin(others, "paused", "v1");
    });
    HttpResponses responses = fleet->sendTakeUps(5, streams);
    fleet->thaw({ 5 });
    fleet->check(5, streams, responses, Rule::GoesOn);
}

// An instance without a link to the store concluded from a list that it could not make current.
BOOST_AUTO_TEST_CASE(takeUps_instanceHasNoStore_goOnAtTheirVersion)
{
    const Instances others = { 0, 1, 2, 3, 5 };
    const Streams streams
        = beginWhileVersionJoins(others, "no-store", [] { fleet->cutFromStore(4); });
    fleet->checkTakeUps(4, streams, Rule::GoesOn);
    fleet->restoreStoreLink(4);
    fleet->checkTakeUps(4, fleet->begin(others, "no-store", "v1"), Rule::GoesOn);
    fleet->checkTakeUps(4, fleet->begin(others, "no-store", "v2"), Rule::GoesOn);
}

// An instance that nobody could correct concluded from its list.
BOOST_AUTO_TEST_CASE(takeUps_instanceIsCutOff_doNotChangeVersion)
{
    const Instances others = { 0, 1, 2, 3, 5 };
    fleet->renew("cut-off");
    const Streams streams = beginWhileVersionJoins(others, "cut-off", [] { fleet->freeze({ 4 }); });
    fleet->cutFromStore(4);
    fleet->freeze(others);
    HttpResponses responses = fleet->sendTakeUps(4, streams);
    fleet->thaw({ 4 });
    fleet->check(4, streams, responses, Rule::MayBeRejected);
    fleet->thaw(others);
    fleet->restoreStoreLink(4);
    fleet->checkTakeUps(4, streams, Rule::GoesOn);
}

// Keepers that stood still answered from their lists, and took streams up themselves.
BOOST_AUTO_TEST_CASE(takeUps_mostInstancesWerePaused_goOnAtTheirVersion)
{
    const Instances paused = { 2, 3, 4, 5 };
    fleet->renew("most-paused");
    const Streams streams
        = beginWhileVersionJoins({ 0 }, "most-paused", [&] { fleet->freeze(paused); });
    fleet->checkTakeUps(1, streams, Rule::MayBeRejected);
    std::vector<HttpResponses> responses;
    responses.reserve(paused.size());
    for (const std::size_t instance : paused)
        responses.push_back(fleet->sendTakeUps(instance, streams));
    fleet->thaw(paused);
    fleet->checkTakeUps(1, streams, Rule::GoesOn);
    for (std::size_t i = 0; i < paused.size(); ++i)
        fleet->check(paused[i], streams, responses[i], Rule::GoesOn);
}

// An instance without any notes believed others that concluded from their lists.
BOOST_AUTO_TEST_CASE(takeUps_instanceRestarted_goOnAtTheirVersion)
{
    const Streams streams = beginWhileVersionJoins({ 0, 1, 2, 4, 5 }, "restarted",
                                                   [] { fleet->gateway(3).process().kill(); });
    fleet->gateway(3).start();
    BOOST_REQUIRE(e2e::waitUntil([&] {
        const HttpResponse response = fleet->takeUp(3, streams.front());
        fleet->check(3, streams.front(), response, Rule::MayBeRejected);
        return response.status != 0 && fleet->gateway(3).ready() == 200;
    }));
    fleet->checkTakeUps(3, streams, Rule::GoesOn);
}

// A current instance took the version that joined last for the only one, since the records of the
// other one had not been renewed for long.
BOOST_AUTO_TEST_CASE(takeUps_keepersAreGone_doNotChangeVersion)
{
    const Instances others = { 0, 2, 3, 4, 5 };
    const Streams streams = beginWhileVersionJoins({ 0 }, "keepers-gone", [] {});
    fleet->begin({ 1 }, "keepers-gone", "v2"); // The list there is current.
    fleet->platform().crashEndpoint("keepers-gone-v1-0");
    fleet->freeze(others);
    fleet->checkTakeUps(1, streams, Rule::MayBeRejected);
    fleet->thaw(others);
    fleet->checkTakeUps(1, streams, Rule::GoesOn);
}

BOOST_AUTO_TEST_SUITE_END()
