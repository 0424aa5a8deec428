#include <map>
#include <string>

#include <boost/test/unit_test.hpp>

#include "absl/strings/str_cat.h"

#include "zinniadoor/daemon/settings.hpp"

namespace {

using namespace zinniadoor;
using namespace zinniadoor::daemon;

struct SettingsFixture
{
    const std::string validSettings = "instance: {id: entry-0, data_centre: accra-1}\n"
                                      "listen: {callers: '127.0.0.1:0', peers: '127.0.0.1:0', "
                                      "admin: '127.0.0.1:0'}\n"
                                      "platform: {url: 'http://127.0.0.1:9'}\n";

    /// Faults that the parser reports for `validSettings` with more lines; empty if there are none.
    std::string faultsOf(const std::string &more) const
    {
        const base::Outcome<Settings> settings = parseSettings(validSettings + more, "s.yaml");
        return settings ? "" : settings.lastReason().text;
    }

    bool hasFault(const std::string &more, const std::string &fault) const
    {
        return faultsOf(more).find(fault) != std::string::npos;
    }
};

BOOST_FIXTURE_TEST_SUITE(SettingsTest, SettingsFixture)

BOOST_AUTO_TEST_CASE(parseSettings_minimalFile_isAccepted)
{
    BOOST_TEST(faultsOf("") == "");
}

BOOST_AUTO_TEST_CASE(parseSettings_unknownKey_namesFileLineAndKey)
{
    BOOST_TEST(hasFault("limits: {conections: 5}\n", "s.yaml:4: limits.conections: "));
    BOOST_TEST(hasFault("surprise: 1\n", "s.yaml:4: surprise: "));
}

BOOST_AUTO_TEST_CASE(parseSettings_severalFaults_reportsEach)
{
    const std::string faults = faultsOf("limits:\n  connections: 1\n  idle_timeout: soon\n"
                                        "log: {level: loud, format: xml}\n");
    for (const char *fault : { "s.yaml:5: limits.connections: ", "s.yaml:6: limits.idle_timeout: ",
                               "s.yaml:7: log.level: ", "s.yaml:7: log.format: " })
        BOOST_TEST(faults.find(fault) != std::string::npos, fault << " in " << faults);
}

BOOST_AUTO_TEST_CASE(parseSettings_missingSections_areReported)
{
    const base::Outcome<Settings> settings = parseSettings("log: {level: info}\n", "s.yaml");
    BOOST_REQUIRE(!settings);
    for (const char *key : { "instance", "listen", "platform" })
        BOOST_TEST(settings.lastReason().text.find(key) != std::string::npos);
}

BOOST_AUTO_TEST_CASE(parseSettings_inconsistentLeaseTimes_areRejected)
{
    BOOST_TEST(hasFault("control: {lease: 2s, lease_margin: 1s}\n", "control.lease_margin: "));
    BOOST_TEST(hasFault("control: {lease: 3s, heartbeat: 2s}\n", "control.heartbeat: "));
}

BOOST_AUTO_TEST_CASE(parseSettings_invalidYaml_isRejected)
{
    BOOST_TEST(!parseSettings("instance: [", "s.yaml").hasValue());
    BOOST_TEST(!parseSettings("", "s.yaml").hasValue());
}

BOOST_AUTO_TEST_CASE(parseAddress_validAndInvalid_areDistinguished)
{
    BOOST_TEST(parseAddress("127.0.0.1:80").hasValue());
    BOOST_TEST(parseAddress("[::1]:80")->ip == "::1");
    for (const char *invalid : { "127.0.0.1", "localhost:80", "127.0.0.1:65536", "127.0.0.1:-1",
                                 "127.0.0.1:x", ":80", "" })
        BOOST_TEST(!parseAddress(invalid).hasValue(), invalid);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
