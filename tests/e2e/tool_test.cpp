#include <filesystem>
#include <iostream>
#include <sstream>

#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"

#include "cluster.hpp"
#include "zinniadoor/ctl/command.hpp"
#include "zinniadoor/ctl/files.hpp"

namespace {

using namespace zinniadoor;
using namespace zinniadoor::e2e;
using ctl::ExitCode;
using Json = nlohmann::json;

Cluster::Options toolOptions()
{
    Cluster::Options options;
    options.daemons = 2;
    options.fleet.engines = 1;
    options.extraBundle = "objectives:\n  - {route: chat, first_byte: 30s, target: 0.95}\n";
    return options;
}

struct ToolFixture
{
    ToolFixture()
        : cluster(toolOptions())
    {
        std::filesystem::create_directories(folder);
        BOOST_REQUIRE(cluster.waitUntilReady());
    }
    ~ToolFixture() { std::filesystem::remove_all(folder); }
    ToolFixture(const ToolFixture &) = delete;
    ToolFixture &operator=(const ToolFixture &) = delete;

    std::string path(const std::string &name) const { return (folder / name).string(); }

    /// Runs the tool in this process and captures its output.
    ExitCode run(const std::vector<std::string> &arguments)
    {
        std::ostringstream out;
        std::ostringstream err;
        std::streambuf *const realOut = std::cout.rdbuf(out.rdbuf());
        std::streambuf *const realErr = std::cerr.rdbuf(err.rdbuf());
        const ExitCode code = ctl::runTool(arguments);
        std::cout.rdbuf(realOut);
        std::cerr.rdbuf(realErr);
        output = out.str();
        errors = err.str();
        return code;
    }

    /// Sends chat requests until `count` have succeeded. Requests may be rejected in the first
    /// seconds, until share slots are claimed.
    void chat(std::size_t daemon, int count)
    {
        for (int i = 0; i < count; ++i) {
            const HttpRequest request = cluster.chat(daemon, 0, "which perch?", 2, false);
            BOOST_REQUIRE(waitUntil([&] { return e2e::call(request).status == 200; }));
        }
    }

    /// Good requests of the last hour in the output of "burn" for these instances.
    int goodRequestsInLastHour(const std::vector<std::size_t> &daemons, ExitCode expected)
    {
        std::vector<std::string> arguments { "burn", "--output", "json" };
        for (const std::size_t daemon : daemons) {
            arguments.emplace_back("--admin");
            arguments.push_back(cluster.daemon(daemon).adminUrl());
        }
        BOOST_TEST((run(arguments) == expected), errors);
        for (const Json &row : Json::parse(output)) {
            if (row["organisation"] == "feathercraft" && row["window"] == "1h")
                return row["good"].get<int>();
        }
        return 0;
    }

    Cluster cluster;
    const std::filesystem::path folder
        = std::filesystem::temp_directory_path() / absl::StrCat("tool_test.", getpid());
    std::string output;
    std::string errors;
};

BOOST_FIXTURE_TEST_SUITE(ToolEndToEndTest, ToolFixture)

BOOST_AUTO_TEST_CASE(burn_twoInstances_sumsAndReportsPartialResultWithoutOne)
{
    chat(0, 3);
    chat(1, 2);
    BOOST_TEST(goodRequestsInLastHour({ 0, 1 }, ExitCode::Ok) == 5);
    cluster.daemon(1).process->kill();
    BOOST_REQUIRE(cluster.daemon(1).process->wait().has_value());
    BOOST_TEST(goodRequestsInLastHour({ 0, 1 }, ExitCode::Partial) == 3);
    BOOST_TEST(errors.find("not counted: ") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(publish_oneInstanceFrozen_takesEffectAndReportsItUnconfirmed)
{
    const std::string platform = cluster.fleet().platform().url();
    ctl::writeSecretFile(path("key"), cluster.operatorKey().secretKey);
    BOOST_REQUIRE(
        (run({ "bundle", "next", "-p", platform, "-o", path("b.yaml") }) == ExitCode::Ok));
    BOOST_REQUIRE((run({ "org", "set-rate", "-b", path("b.yaml"), "-i", "feathercraft", "-r", "70",
                         "-u", "70" })
                   == ExitCode::Ok));
    BOOST_REQUIRE(
        (run({ "bundle", "sign", "-b", path("b.yaml"), "-u", OperatorId, "-k", path("key") })
         == ExitCode::Ok));
    ctl::writeFile(path("sig"), output);
    cluster.daemon(1).process->freeze();
    const ExitCode code = run({ "bundle", "publish", "-b", path("b.yaml"), "-s", path("sig"), "-p",
                                platform, "-w", "3" });
    cluster.daemon(1).process->thaw();
    BOOST_TEST((code == ExitCode::Partial));
    BOOST_TEST(output.find("in effect from offset ") != std::string::npos);
    BOOST_TEST(errors.find("not confirmed by entry-1: ") != std::string::npos);
    BOOST_TEST(cluster.waitForStatus(0, "bundle_version", "2"));
    BOOST_TEST(cluster.waitForStatus(1, "bundle_version", "2"));
    BOOST_TEST(
        (run({ "bundle", "publish", "-b", path("b.yaml"), "-s", path("sig"), "-p", platform })
         == ExitCode::Failed));
    BOOST_TEST(errors.find("without effect") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(publish_platformUnreachable_hasNoEffect)
{
    ctl::writeFile(path("sig"), absl::StrCat(OperatorId, " 00"));
    const std::string platform = cluster.fleet().platform().url();
    BOOST_REQUIRE(
        (run({ "bundle", "next", "-p", platform, "-o", path("b.yaml") }) == ExitCode::Ok));
    BOOST_TEST((run({ "bundle", "publish", "-b", path("b.yaml"), "-s", path("sig"), "-p",
                      "http://127.0.0.1:1" })
                == ExitCode::Failed));
    BOOST_TEST(errors.find("not published") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
