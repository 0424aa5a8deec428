#include <boost/test/unit_test.hpp>

#include "zinniadoor/ctl/burn_page.hpp"
#include "zinniadoor/ctl/burn_report.hpp"

namespace {

using namespace zinniadoor;
using namespace zinniadoor::ctl;

struct BurnReportFixture
{
    /// Good requests: 97 of 100 in the shorter windows, 980 of 1000 in 3 days.
    const std::string first
        = R"({"bundle_version": 2, "objectives": [{"route": "chat", "first_byte_ms": 1100,
              "target": 0.95}], "rows": [{"organisation": "<otters>", "route": "chat", "windows":
              {"5m": {"good": 97, "total": 100}, "1h": {"good": 97, "total": 100},
               "6h": {"good": 97, "total": 100}, "3d": {"good": 980, "total": 1000}}}]})";
    /// Good requests: 83 of 100 in the shorter windows, 920 of 1000 in 3 days; older bundle
    /// version.
    const std::string second
        = R"({"bundle_version": 1, "objectives": [{"route": "chat", "first_byte_ms": 900,
              "target": 0.5}], "rows": [{"organisation": "<otters>", "route": "chat", "windows":
              {"5m": {"good": 83, "total": 100}, "1h": {"good": 83, "total": 100},
               "6h": {"good": 83, "total": 100}, "3d": {"good": 920, "total": 1000}}}]})";
    const BurnReport sum = sumReports({ *parseBurn(first), *parseBurn(second) });
};

BOOST_FIXTURE_TEST_SUITE(BurnReportTest, BurnReportFixture)

// Expected: 180 of 200 good is 0.9, so that 0.1 bad against a budget of 0.05 is a burn rate of 2.
// Over 3 days 1900 of 2000 good is 0.95, so that 0.05 bad against 0.05 is a burn rate of 1.
BOOST_AUTO_TEST_CASE(burnTable_twoInstances_showsSumsAndBurnRates)
{
    const Table table = burnTable(sum);
    BOOST_REQUIRE(table.rows.size() == 4u);
    BOOST_TEST(table.rows[0][3].text == "180");
    BOOST_TEST(table.rows[0][4].text == "200");
    BOOST_TEST(table.rows[0][5].text == "0.9000");
    BOOST_TEST(table.rows[0][7].text == "2.00");
    BOOST_TEST(table.rows[3][7].text == "1.00");
}

BOOST_AUTO_TEST_CASE(sumReports_twoBundleVersions_usesNewerObjectives)
{
    BOOST_TEST(targetOf(sum, "chat") == 0.95);
    BOOST_TEST(targetOf(sum, "other") == 0);
    BOOST_TEST(sum.instances == 2u);
}

BOOST_AUTO_TEST_CASE(sumReports_instanceMissing_keepsOtherCounts)
{
    const BurnReport one = sumReports({ *parseBurn(first) });
    BOOST_TEST(one.rows[0].windows[0].total == 100u);
    BOOST_TEST(sumReports({}).rows.empty());
}

BOOST_AUTO_TEST_CASE(parseBurn_invalidJson_fails)
{
    for (const char *invalid : { "", "[]", "{}", R"({"bundle_version": "x"})" })
        BOOST_TEST(!parseBurn(invalid).hasValue(), invalid);
}

BOOST_AUTO_TEST_CASE(burnPage_names_areEscapedWithoutExternalResources)
{
    BurnReport report = sum;
    report.missing = { "http://127.0.0.1:1/burn: <gone>" };
    const std::string page = renderBurnPage(report);
    BOOST_TEST(page.find("<otters>") == std::string::npos);
    BOOST_TEST(page.find("&lt;otters&gt;") != std::string::npos);
    BOOST_TEST(page.find("Not counted: http://127.0.0.1:1/burn: &lt;gone&gt;")
               != std::string::npos);
    for (const char *external : { "src=", "href=", "@import", "url(", "<script" })
        BOOST_TEST(page.find(external) == std::string::npos, external);
}

BOOST_AUTO_TEST_CASE(burnPage_noRequests_showsNote)
{
    BOOST_TEST(renderBurnPage({}).find("No requests yet.") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(render_tableAndJson_containSameRows)
{
    const Table table { { "id", "n", "on" }, { { "a\"b", std::uint64_t(5), true } } };
    BOOST_TEST(render(table, OutputFormat::Json)
               == "[{\"id\": \"a\\\"b\", \"n\": 5, \"on\": true}]\n");
    BOOST_TEST(render(table, OutputFormat::Table) == "id   n  on\na\"b  5  true\n");
    BOOST_TEST(render({ { "id" }, {} }, OutputFormat::Json) == "[]\n");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
