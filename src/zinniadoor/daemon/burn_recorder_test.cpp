#include <boost/test/unit_test.hpp>

#include <nlohmann/json.hpp>

#include "zinniadoor/daemon/burn_recorder.hpp"

namespace {

using namespace zinniadoor;
using namespace zinniadoor::daemon;

class FixedClock : public base::Clock
{
public:
    absl::Time now() const override { return time; }
    absl::Time wallTime() const override { return time; }

    absl::Time time = absl::FromUnixSeconds(1'796'000'000);
};

struct BurnRecorderFixture
{
    BurnRecorderFixture()
    {
        control::Bundle bundle;
        bundle.version = 7;
        bundle.objectives.push_back({ "chat", 1000, 0.9 });
        recorder.setConfiguration(bundle);
    }

    nlohmann::json rows() const { return nlohmann::json::parse(recorder.json()).at("rows"); }

    FixedClock clock;
    BurnRecorder recorder { clock };
    const base::OrganisationId otters { "otters" };
};

BOOST_FIXTURE_TEST_SUITE(BurnRecorderTest, BurnRecorderFixture)

BOOST_AUTO_TEST_CASE(countAnswer_atAndBeyondObjective_countsGoodAndBad)
{
    recorder.countAnswer(otters, "chat", absl::Milliseconds(1000));
    recorder.countAnswer(otters, "chat", absl::Milliseconds(1001));
    const nlohmann::json all = rows();
    BOOST_REQUIRE(all.size() == 1u);
    for (const char *window : { "5m", "1h", "6h", "3d" }) {
        BOOST_TEST(all[0]["windows"][window]["good"] == 1);
        BOOST_TEST(all[0]["windows"][window]["total"] == 2);
    }
}

BOOST_AUTO_TEST_CASE(countFailure_callerError_isNotCounted)
{
    for (const base::ReasonCode code :
         { base::ReasonCode::InvalidArgument, base::ReasonCode::Unauthorized,
           base::ReasonCode::Forbidden, base::ReasonCode::NotFound, base::ReasonCode::Conflict,
           base::ReasonCode::Gone })
        recorder.countFailure(otters, "chat", code);
    BOOST_TEST(rows().empty());
}

BOOST_AUTO_TEST_CASE(countFailure_serverError_countsBad)
{
    for (const base::ReasonCode code :
         { base::ReasonCode::Overloaded, base::ReasonCode::Timeout, base::ReasonCode::Unavailable,
           base::ReasonCode::OutcomeUnknown, base::ReasonCode::Internal })
        recorder.countFailure(otters, "chat", code);
    BOOST_REQUIRE(rows().size() == 1u);
    BOOST_TEST(rows()[0]["windows"]["5m"]["good"] == 0);
    BOOST_TEST(rows()[0]["windows"]["5m"]["total"] == 5);
}

BOOST_AUTO_TEST_CASE(count_routeWithoutObjective_isNotCounted)
{
    recorder.countAnswer(otters, "completions", absl::ZeroDuration());
    recorder.countFailure(otters, "completions", base::ReasonCode::Internal);
    BOOST_TEST(rows().empty());
}

BOOST_AUTO_TEST_CASE(json_bundleWithObjective_listsObjective)
{
    const nlohmann::json document = nlohmann::json::parse(recorder.json());
    BOOST_TEST(document["bundle_version"] == 7);
    BOOST_TEST(document["objectives"][0]["first_byte_ms"] == 1000);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
