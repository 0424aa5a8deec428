#include <algorithm>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "absl/strings/str_cat.h"

#include "zinniadoor/serving/cold_endpoints.hpp"

namespace {

using namespace zinniadoor;
using namespace zinniadoor::serving;

const base::EndpointId Cold("e1");

/// Instances that call an endpoint whenever they may, without hearing of each other.
struct ColdEndpointsFixture
{
    static absl::Time at(int ms) { return absl::FromUnixSeconds(1000) + absl::Milliseconds(ms); }

    static std::vector<std::string> namesOf(int first, int count)
    {
        std::vector<std::string> names;
        for (int i = first; i < first + count; ++i)
            names.push_back(absl::StrCat("instance-", i));
        return names;
    }

    ColdEndpoints make(int self, const std::vector<std::string> &view, int ms = 0) const
    {
        ColdEndpoints cold(bounds);
        cold.setServices({ { "engines", { 16, absl::Seconds(20) } } }, at(ms));
        cold.setInstances(absl::StrCat("instance-", self), view, at(ms));
        cold.noteRecord(Cold, "engines", absl::Seconds(20), at(ms));
        return cold;
    }

    void run(int from, int to)
    {
        for (int ms = from; ms < to; ms += 5) {
            for (ColdEndpoints &cold : instances) {
                while (cold.mayCall(Cold, at(ms))) {
                    cold.noteCall(Cold, at(ms));
                    calls.push_back(ms);
                }
            }
        }
    }

    std::size_t mostInOneSecond() const
    {
        std::size_t most = 0;
        for (std::size_t i = 0, j = 0; j < calls.size(); ++j) {
            while (calls[j] - calls[i] >= 1000)
                ++i;
            most = std::max(most, j - i + 1);
        }
        return most;
    }

    ColdBounds bounds { 1.5, 5 };
    std::vector<ColdEndpoints> instances;
    std::vector<int> calls; ///< Milliseconds.
};

BOOST_FIXTURE_TEST_SUITE(ColdEndpointsTest, ColdEndpointsFixture)

// Guards against a crash of the endpoint: its limit is 16 x 1.5 + 5 = 29.
BOOST_AUTO_TEST_CASE(coldEndpoint_62InstancesWithTwoViews_staysBelowLimit)
{
    for (int i = 0; i < 62; ++i)
        instances.push_back(make(i, i < 31 ? namesOf(0, 62) : namesOf(20, 62)));
    run(0, 10000);
    BOOST_TEST(mostInOneSecond() < 29u);
    BOOST_TEST(calls.size() >= 50u);
}

// Guards against restarts that give each new process a full bucket.
BOOST_AUTO_TEST_CASE(coldEndpoint_instancesRestartEachSecond_staysBelowLimit)
{
    for (int second = 0; second < 8; ++second) {
        instances.clear();
        for (int i = 0; i < 62; ++i)
            instances.push_back(make(i, namesOf(0, 62), second * 1000));
        run(second * 1000, second * 1000 + 1000);
    }
    BOOST_TEST(mostInOneSecond() < 29u);
}

// Guards against calls of an instance that takes itself for the only one.
BOOST_AUTO_TEST_CASE(coldEndpoint_instancesUnknown_isNotCalled)
{
    instances.push_back(make(0, {}));
    run(0, 5000);
    BOOST_TEST(calls.empty());
}

BOOST_AUTO_TEST_CASE(coldEndpoint_limitBelowOneCallASecond_isNotCalled)
{
    bounds = { 0.05, 0 };
    instances.push_back(make(0, namesOf(0, 1)));
    run(0, 5000);
    BOOST_TEST(calls.empty());
}

// Guards against a jump from few calls to those of all instances at once.
BOOST_AUTO_TEST_CASE(endpoint_becomesWarm_instancesResumeWithinOneSecond)
{
    for (int i = 0; i < 62; ++i) {
        instances.push_back(make(i, namesOf(0, 62)));
        instances.back().noteAnswer(Cold, "engines", absl::ZeroDuration(), at(100));
    }
    const auto calling = [&](int ms) {
        return std::count_if(instances.begin(), instances.end(),
                             [&](const auto &cold) { return cold.mayCall(Cold, at(ms)); });
    };
    BOOST_TEST(calling(100) <= 4);
    BOOST_TEST(calling(600) > 15);
    BOOST_TEST(calling(600) < 45);
    BOOST_TEST(calling(1100) == 62);
}

// Guards against a record written before the endpoint became cold that ends its coldness.
BOOST_AUTO_TEST_CASE(record_warmAndOlderThanAnswer_doesNotEndColdness)
{
    ColdEndpoints cold = make(0, namesOf(0, 62));
    cold.noteAnswer(Cold, "engines", absl::Seconds(10), at(0));
    BOOST_TEST(!cold.noteRecord(Cold, "engines", absl::ZeroDuration(), at(1000)));
    BOOST_TEST(cold.isCold(Cold, at(1000)));
    BOOST_TEST(cold.noteRecord(Cold, "engines", absl::ZeroDuration(), at(3500)));
    BOOST_TEST(!cold.isCold(Cold, at(3500)));
}

BOOST_AUTO_TEST_CASE(endpoint_serviceWithoutLimit_isNeverCold)
{
    ColdEndpoints cold = make(0, namesOf(0, 62));
    cold.noteStarted(base::EndpointId("e2"), "plain", at(0));
    BOOST_TEST(!cold.isCold(base::EndpointId("e2"), at(0)));
    BOOST_TEST(cold.mayCall(base::EndpointId("e2"), at(0)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
