#include "zinniadoor/base/yaml_reader.hpp"

#include <boost/test/unit_test.hpp>

namespace {

using namespace zinniadoor::base;

struct YamlReaderFixture
{
    YamlFaults faults { "settings.yaml" };
};

BOOST_FIXTURE_TEST_SUITE(YamlReaderTest, YamlReaderFixture)

BOOST_AUTO_TEST_CASE(yamlReader_validDocument_returnsValues)
{
    auto root = parseYaml("name: a\ncount: 3\nwait: 250ms\nlist: [x, y]\n", faults);
    BOOST_REQUIRE(root.has_value());
    BOOST_TEST(root->string("name") == "a");
    BOOST_TEST(root->integer("count", 1, 10) == 3);
    BOOST_TEST((root->duration("wait", absl::ZeroDuration(), absl::Seconds(1))
                == absl::Milliseconds(250)));
    BOOST_TEST(root->strings("list").size() == 2u);
    root->finish();
    BOOST_TEST(faults.empty());
}

BOOST_AUTO_TEST_CASE(yamlReader_unknownMissingAndInvalidKeys_reportsLineAndKey)
{
    auto root = parseYaml("count: 30\nwait: soon\nextra: 1\ncount2: x\n", faults);
    BOOST_REQUIRE(root.has_value());
    root->integer("count", 1, 10);
    root->integer("count2", 1, 10);
    root->duration("wait", absl::ZeroDuration(), absl::Seconds(1));
    root->string("name");
    root->finish();
    const std::string text = faults.text();
    BOOST_TEST(text.find("settings.yaml:1: count: is 30, outside 1 to 10") != std::string::npos);
    BOOST_TEST(text.find("settings.yaml:2: wait: is not a duration") != std::string::npos);
    BOOST_TEST(text.find("settings.yaml:3: extra: is not a known key") != std::string::npos);
    BOOST_TEST(text.find("settings.yaml:4: count2: is not a whole number") != std::string::npos);
    BOOST_TEST(text.find("name: is missing") != std::string::npos);
}

// Guards against instances that do not start where a deployment leaves an optional field out.
BOOST_AUTO_TEST_CASE(yamlReader_emptyOptionalValues_returnsFallbacks)
{
    auto root = parseYaml("a:\nb:\nc:\nd:\ne:\nf:\ng:\nh: {i: }\n", faults);
    BOOST_REQUIRE(root.has_value());
    BOOST_TEST(root->numberOr("a", 0, 1, 0.5) == 0.5);
    BOOST_TEST(root->integerOr("b", 1, 9, 3) == 3);
    BOOST_TEST(root->stringOr("c", "x") == "x");
    BOOST_TEST((root->durationOr("d", absl::ZeroDuration(), absl::Seconds(9), absl::Seconds(2))
                == absl::Seconds(2)));
    BOOST_TEST(root->booleanOr("e", true));
    BOOST_TEST(root->stringsOr("f").empty());
    BOOST_TEST(root->mapping("g", false).numberOr("x", 0, 1, 1) == 1);
    BOOST_TEST(root->mapping("h").numberOr("i", 0, 1, 1) == 1);
    BOOST_TEST(faults.text() == "");
}

BOOST_AUTO_TEST_CASE(yamlReader_emptyRequiredValue_reportsLineAndKey)
{
    auto root = parseYaml("a: 1\nb:\n", faults);
    BOOST_REQUIRE(root.has_value());
    root->number("b", 0, 1);
    BOOST_TEST(faults.text() == "settings.yaml:2: b: is empty");
}

BOOST_AUTO_TEST_CASE(parseYaml_malformedDocument_reportsFault)
{
    BOOST_TEST(!parseYaml("a: [1, 2", faults).has_value());
    BOOST_TEST(!faults.empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
