#include <boost/test/unit_test.hpp>

#include "zinniadoor/ctl/burn_page.hpp"
#include "zinniadoor/ctl/burn_report.hpp"

namespace {

using namespace zinniadoor;
using namespace zinniadoor::ctl;

struct BurnReportFixture
{
    /// 97 of 100 in the shorter windows, 980 of 1000 in 3 days.
    const std::string first
        = R"({"bundle_version": 2, "objectives": [{"route": "chat", "first_byte_ms": 1100,
              "target": 0.95}], "rows": [{"organisation": "<otters>", "route": "chat", "windows":
              {"5m": {"good": 97, "total": 100}, "1h": {"good": 97, "total": 100},
               "6h": {"good": 97, "total": 100}, "3d": {"good": 980, "total": 1000}}}]})";
    /// 83 of 100 in the shorter windows, 920 of 1000 in 3 days, under an older bundle.
    const std::string second
        = R"({"bundle_version": 1, "objectives": [{"route": "chat", "first_byte_ms": 900,
              "target": 0.5}], "rows": [{"organisation": "<otters>", "route": "chat", "windows":
              {"5m": {"good": 83, "total": 100}, "1h": {"good": 83, "total": 100},
               "6h": {"good": 83, "total": 100}, "3d": {"good": 920, "total": 1000}}}]})";
    const BurnReport sum = sumReports({ *parseBurn(first), *parseBurn(second) });
};

BOOST_FIXTURE_TEST_SUITE(BurnReportTest, BurnReportFixture)

// By hand: 180 of 200 good is a share of 0.9; 0.1 bad against a budget of 0.05 burns at 2. Over 3
// days 1900 of 2000 is a share of 0.95: 0.05 bad against 0.05 burns at 1.
BOOST_AUTO_TEST_CASE(burnTable_twoInstances_agreesWithTheSumByHand)
{
    const Table table = burnTable(sum);
    BOOST_REQUIRE(table.rows.size() == 4u);
    BOOST_TEST(table.rows[0][3].text == "180");
    BOOST_TEST(table.rows[0][4].text == "200");
    BOOST_TEST(table.rows[0][5].text == "0.9000");
    BOOST_TEST(table.rows[0][7].text == "2.00");
    BOOST_TEST(table.rows[3][7].text == "1.00");
}

BOOST_AUTO_TEST_CASE(sumReports_bundlesOfTwoVersions_takesTheNewerObjectives)
{
    BOOST_TEST(targetOf(sum, "chat") == 0.95);
    BOOST_TEST(targetOf(sum, "other") == 0);
    BOOST_TEST(sum.instances == 2u);
}

BOOST_AUTO_TEST_CASE(sumReports_instanceGone_leavesTheOthersCounts)
{
    const BurnReport one = sumReports({ *parseBurn(first) });
    BOOST_TEST(one.rows[0].windows[0].total == 100u);
    BOOST_TEST(sumReports({}).rows.empty());
}

BOOST_AUTO_TEST_CASE(parseBurn_otherJson_isRefused)
{
    for (const char *bad : { "", "[]", "{}", R"({"bundle_version": "x"})" })
        BOOST_TEST(!parseBurn(bad).hasValue(), bad);
}

BOOST_AUTO_TEST_CASE(burnPage_names_areEscapedAndNothingIsFetched)
{
    BurnReport report = sum;
    report.missing = { "http://127.0.0.1:1/burn: <gone>" };
    const std::string page = renderBurnPage(report);
    BOOST_TEST(page.find("<otters>") == std::string::npos);
    BOOST_TEST(page.find("&lt;otters&gt;") != std::string::npos);
    BOOST_TEST(page.find("Not counted: http://127.0.0.1:1/burn: &lt;gone&gt;")
               != std::string::npos);
    for (const char *outside : { "src=", "href=", "@import", "url(", "<script" })
        BOOST_TEST(page.find(outside) == std::string::npos, outside);
}

BOOST_AUTO_TEST_CASE(burnPage_noRequests_saysSo)
{
    BOOST_TEST(renderBurnPage({}).find("No requests yet.") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(render_tableAndJson_holdTheSameRows)
{
    const Table table { { "id", "n", "on" }, { { "a\"b", std::uint64_t(5), true } } };
    BOOST_TEST(render(table, OutputFormat::Json)
               == "[{\"id\": \"a\\\"b\", \"n\": 5, \"on\": true}]\n");
    BOOST_TEST(render(table, OutputFormat::Table) == "id   n  on\na\"b  5  true\n");
    BOOST_TEST(render({ { "id" }, {} }, OutputFormat::Json) == "[]\n");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
