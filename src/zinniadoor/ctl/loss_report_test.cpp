#include <boost/test/unit_test.hpp>

#include "absl/strings/str_cat.h"

#include "zinniadoor/ctl/loss_report.hpp"

namespace {

using namespace zinniadoor;
using namespace zinniadoor::ctl;

struct LossReportFixture
{
    /// Log line for the end of a request on "chat" with an objective of 300 ms.
    static std::string ended(const std::string &outcome, const std::string &reason,
                             const std::string &times)
    {
        return absl::StrCat(
            R"(gw-1 {"event":733,"name":"request_ended","route":"chat","outcome":")", outcome,
            R"(","reason":")", reason, R"(","objective_ms":"300",)", times, "}");
    }

    std::string cause(std::size_t row) const
    {
        const Table table = report.table();
        return absl::StrCat(table.rows.at(row).at(1).text, "/", table.rows.at(row).at(2).text);
    }

    LossReport report;
};

BOOST_FIXTURE_TEST_SUITE(LossReportTest, LossReportFixture)

BOOST_AUTO_TEST_CASE(add_lateResponses_areCountedBySlowestPhase)
{
    BOOST_TEST(report.add(ended(
        "served", "", R"("read_ms":"350","begin_ms":"40","first_ms":"400","total_ms":"600")")));
    BOOST_TEST(report.add(ended(
        "served", "", R"("read_ms":"60","begin_ms":"500","first_ms":"570","total_ms":"700")")));
    BOOST_TEST(report.add(
        ended("served", "", R"("read_ms":"","begin_ms":"60","first_ms":"500","total_ms":"700")")));
    BOOST_TEST(report.add(
        ended("served", "", R"("read_ms":"","begin_ms":"60","first_ms":"65","total_ms":"200")")));
    BOOST_REQUIRE(report.table().rows.size() == 4u);
    BOOST_TEST(cause(0) == "in_time/");
    BOOST_TEST(cause(1) == "late/beginning");
    BOOST_TEST(cause(2) == "late/instance");
    BOOST_TEST(cause(3) == "late/prompt_read");
}

BOOST_AUTO_TEST_CASE(add_rejections_keepReasonAndShare)
{
    for (int i = 0; i < 3; ++i)
        report.add(ended("not_run", "too_late", R"("first_ms":"","total_ms":"2")"));
    report.add(ended("not_run", "shed", R"("first_ms":"","total_ms":"9")"));
    const Table table = report.table();
    BOOST_REQUIRE(table.rows.size() == 2u);
    BOOST_TEST(table.rows[1][2].text == "too_late");
    BOOST_TEST(table.rows[1][3].text == "3");
    BOOST_TEST(std::stod(table.rows[1][4].text) == 0.75);
}

BOOST_AUTO_TEST_CASE(add_unstreamedResponse_isJudgedByTotalTime)
{
    report.add(ended("served", "", R"("begin_ms":"","first_ms":"","total_ms":"301")"));
    BOOST_TEST(cause(0) == "late/unsplit");
}

BOOST_AUTO_TEST_CASE(add_otherOrTruncatedLines_areIgnored)
{
    const std::string whole = ended("served", "", R"("first_ms":"1","total_ms":"2")");
    for (std::size_t cut = 0; cut < whole.size(); ++cut)
        BOOST_TEST(!report.add(whole.substr(0, cut)));
    for (const char *line :
         { "", "{", "plain text", R"({"name":"call_failed","request":"request_ended"})",
           R"(["request_ended"])", R"({"name":7,"x":"request_ended"})" })
        BOOST_TEST(!report.add(line), std::string(line));
    BOOST_TEST(report.table().rows.empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
