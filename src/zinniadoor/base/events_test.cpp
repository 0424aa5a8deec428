#include <fstream>
#include <set>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"

#include "zinniadoor/base/events.hpp"

namespace {

using namespace zinniadoor::base;

const char *nameOfLevel(EventLevel level)
{
    switch (level) {
    case EventLevel::Debug:
        return "debug";
    case EventLevel::Info:
        return "info";
    case EventLevel::Warning:
        return "warning";
    case EventLevel::Error:
        return "error";
    }
    return "";
}

/// Table rows of docs/EVENTS.md: lines with a number in the first column.
std::vector<std::string> documentedRows()
{
    std::ifstream in(std::string(ZINNIADOOR_DOCS) + "/EVENTS.md");
    std::vector<std::string> rows;
    for (std::string line; std::getline(in, line);) {
        if (line.size() > 2 && line[0] == '|'
            && absl::ascii_isdigit(static_cast<unsigned char>(line[2])))
            rows.push_back(line);
    }
    return rows;
}

BOOST_AUTO_TEST_SUITE(EventsTest)

BOOST_AUTO_TEST_CASE(eventsPage_allRows_equalEventTable)
{
    std::vector<std::string> expected;
    for (const EventInfo &info : eventTable())
        expected.push_back(absl::StrCat("| ", static_cast<int>(info.id), " | `", info.name, "` | ",
                                        nameOfLevel(info.level), " | ", info.text, " |"));
    const std::vector<std::string> rows = documentedRows();
    BOOST_TEST(rows == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(eventTable_numbersAndNames_areUniqueAndInOrder)
{
    std::set<std::string> names;
    int last = 0;
    for (const EventInfo &info : eventTable()) {
        BOOST_TEST(static_cast<int>(info.id) > last);
        BOOST_TEST(names.insert(info.name).second);
        last = static_cast<int>(info.id);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
