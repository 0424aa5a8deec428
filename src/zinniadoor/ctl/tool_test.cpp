#include <filesystem>
#include <iostream>
#include <sstream>

#include <unistd.h>

#include <boost/test/unit_test.hpp>

#include "absl/strings/str_cat.h"

#include "zinniadoor/control/bundle.hpp"
#include "zinniadoor/ctl/command.hpp"
#include "zinniadoor/ctl/files.hpp"

namespace {

using namespace zinniadoor;
using namespace zinniadoor::ctl;

struct ToolFixture
{
    ToolFixture()
    {
        std::filesystem::create_directories(folder);
        std::cout.rdbuf(out.rdbuf());
        std::cerr.rdbuf(err.rdbuf());
    }
    ~ToolFixture()
    {
        std::cout.rdbuf(realOut);
        std::cerr.rdbuf(realErr);
        std::filesystem::remove_all(folder);
    }
    ToolFixture(const ToolFixture &) = delete;
    ToolFixture &operator=(const ToolFixture &) = delete;

    std::string path(const std::string &name) const { return (folder / name).string(); }

    void writeBundle() const
    {
        writeFile(
            path("b.yaml"),
            absl::StrCat("version: 1\noperators: [{id: ama, public_key: ",
                         control::generateKeyPair().publicKey,
                         "}]\norganisations: [{id: otters, rate_per_second: 1, burst: 2}]\n"));
    }

    const std::filesystem::path folder
        = std::filesystem::temp_directory_path() / absl::StrCat("ctl_test.", getpid());
    std::ostringstream out;
    std::ostringstream err;
    std::streambuf *const realOut = std::cout.rdbuf();
    std::streambuf *const realErr = std::cerr.rdbuf();
};

BOOST_FIXTURE_TEST_SUITE(ToolTest, ToolFixture)

BOOST_AUTO_TEST_CASE(help_everyCommand_isListedAndHasOwnHelp)
{
    BOOST_TEST((runTool({ "--help" }) == ExitCode::Ok));
    for (const auto &command : allCommands()) {
        BOOST_TEST(out.str().find(command->name()) != std::string::npos, command->name());
        BOOST_TEST((command->run({ "--help" }) == ExitCode::Ok), command->name());
    }
}

BOOST_AUTO_TEST_CASE(runTool_invalidArguments_returnsUsage)
{
    BOOST_TEST((runTool({}) == ExitCode::Usage));
    BOOST_TEST((runTool({ "no", "such" }) == ExitCode::Usage));
    BOOST_TEST((runTool({ "org", "list" }) == ExitCode::Usage));
    BOOST_TEST((runTool({ "bundle", "check", "-b", path("absent") }) == ExitCode::Usage));
    BOOST_TEST((runTool({ "status", "-a", "x", "--output", "xml" }) == ExitCode::Usage));
}

BOOST_AUTO_TEST_CASE(keygen_secretFile_isAccessibleToOwnerOnly)
{
    BOOST_TEST((runTool({ "keygen", "--out", path("ama.key") }) == ExitCode::Ok));
    const auto mode = std::filesystem::status(path("ama.key")).permissions();
    const auto others = std::filesystem::perms::group_all | std::filesystem::perms::others_all;
    BOOST_TEST(((mode & others) == std::filesystem::perms::none));
}

BOOST_AUTO_TEST_CASE(keyIssue_secret_isPrintedButNotStored)
{
    writeBundle();
    BOOST_TEST((runTool({ "key", "issue", "-b", path("b.yaml"), "-g", "otters" }) == ExitCode::Ok));
    const base::Outcome<control::CallerKey> key
        = control::parseCallerKey(out.str().substr(0, out.str().find('\n')));
    BOOST_REQUIRE(key.hasValue());
    const std::string stored = *readFile(path("b.yaml"));
    BOOST_TEST(stored.find(key->secret) == std::string::npos);
    const control::Bundle bundle = *control::parseBundle(stored, "b.yaml");
    const control::KeyRecord &record = bundle.organisations.at(0).keys.at(0);
    BOOST_TEST((record.id == key->id));
    BOOST_TEST(record.digest == control::keyDigest(record.salt, key->secret));
}

BOOST_AUTO_TEST_CASE(keyIssue_closedOutput_changesNothing)
{
    writeBundle();
    const std::string before = *readFile(path("b.yaml"));
    std::cout.setstate(std::ios::badbit);
    const ExitCode code = runTool({ "key", "issue", "-b", path("b.yaml"), "-g", "otters" });
    std::cout.clear();
    BOOST_TEST((code == ExitCode::Failed));
    BOOST_TEST(*readFile(path("b.yaml")) == before);
}

BOOST_AUTO_TEST_CASE(orgSetRate_unknownOrganisation_changesNothing)
{
    writeBundle();
    const std::string before = *readFile(path("b.yaml"));
    BOOST_TEST(
        (runTool({ "org", "set-rate", "-b", path("b.yaml"), "-i", "herons", "-r", "1", "-u", "1" })
         == ExitCode::Usage));
    BOOST_TEST(*readFile(path("b.yaml")) == before);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
