#include <boost/test/unit_test.hpp>

#include "fleet.hpp"

namespace {

using namespace zinniadoor::e2e;

struct SettingsCheckFixture
{
    int exitCodeFor(const std::string &yaml, const std::string &option)
    {
        Process::Options options;
        options.program = daemonProgram();
        options.arguments = { "--config", writeTemporaryFile("check.yaml", yaml), option };
        Process process(options);
        const std::optional<ExitStatus> status = process.wait();
        return status && status->code ? *status->code : -1;
    }

    const std::string validSettings = "instance: {id: a, data_centre: dc}\n"
                                      "listen: {callers: \"127.0.0.1:0\", peers: \"127.0.0.1:0\", "
                                      "admin: \"127.0.0.1:0\"}\n"
                                      "platform: {url: \"http://127.0.0.1:9\"}\n";
};

BOOST_FIXTURE_TEST_SUITE(SettingsCheckTest, SettingsCheckFixture)

BOOST_AUTO_TEST_CASE(check_validSettings_exitsWith0)
{
    BOOST_TEST(exitCodeFor(validSettings, "--check") == 0);
}

BOOST_AUTO_TEST_CASE(check_unknownKeyOrInvalidValue_exitsWith2)
{
    BOOST_TEST(exitCodeFor(validSettings + "extra: 1\n", "--check") == 2);
    BOOST_TEST(exitCodeFor(validSettings + "limits: {connections: many}\n", "--check") == 2);
    BOOST_TEST(exitCodeFor("instance: {id: a}\n", "--check") == 2);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
