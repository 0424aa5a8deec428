#include <boost/test/unit_test.hpp>

#include "absl/strings/str_cat.h"

#include "zinniadoor/ctl/bundle_source.hpp"
#include "zinniadoor/ctl/confirmation.hpp"
#include "zinniadoor/ctl/frame_summary.hpp"
#include "zinniadoor/ctl/log_client.hpp"
#include "zinniadoor/ctl/log_replay.hpp"

#include "memory_log_test.hpp"

namespace {

using namespace zinniadoor;
using namespace zinniadoor::ctl;

constexpr absl::Duration Patience = absl::Seconds(30);
constexpr absl::Duration ShortPatience = absl::Milliseconds(20);

struct LogFixture
{
    std::string yaml(int version, const std::string &predecessor) const
    {
        return absl::StrCat("version: ", version, "\npredecessor: '", predecessor,
                            "'\noperators: [{id: ama, public_key: ", keys.publicKey, "}]\n");
    }

    control::BundlePublished signedBundle(const std::string &text) const
    {
        return { text, { *control::signText(text, "ama", keys.secretKey) } };
    }

    /// A frame of instance `id`, which started with its first one.
    void writeFrame(const std::string &id, std::uint64_t sequence, std::uint64_t version)
    {
        control::Frame frame;
        frame.writer = base::InstanceId(id);
        frame.incarnation = 1;
        frame.sequence = sequence;
        frame.bundleVersion = version;
        if (sequence == 1)
            frame.records.push_back(control::InstanceStarted {
                frame.writer, 1, base::DataCentreId("accra-1"), "127.0.0.1:1", {} });
        log->records.push_back(control::encodeFrame(frame));
    }

    const control::KeyPair keys = control::generateKeyPair();
    std::unique_ptr<MemoryLog> owned = std::make_unique<MemoryLog>();
    MemoryLog *log = owned.get();
    LogClient client { std::move(owned) };
};

BOOST_FIXTURE_TEST_SUITE(LogTest, LogFixture)

BOOST_AUTO_TEST_CASE(append_taken_isInLog)
{
    const AppendResult result = client.append(signedBundle(yaml(1, "")), Patience);
    BOOST_TEST((result.effect == AppendEffect::InLog));
    BOOST_TEST(result.offset == 1u);
}

BOOST_AUTO_TEST_CASE(append_refused_isNotInLog)
{
    log->failure = { { base::ReasonCode::Unavailable, "full" }, false };
    const AppendResult result = client.append(signedBundle(yaml(1, "")), Patience);
    BOOST_TEST((result.effect == AppendEffect::NotInLog));
    BOOST_TEST(result.reason.text == "full");
}

BOOST_AUTO_TEST_CASE(append_answerLostButStored_isFoundByName)
{
    log->records.push_back("no frame");
    log->failure = { { base::ReasonCode::OutcomeUnknown, "lost" }, true };
    const AppendResult result = client.append(signedBundle(yaml(1, "")), Patience);
    BOOST_TEST((result.effect == AppendEffect::InLog));
    BOOST_TEST(result.offset == 2u);
}

BOOST_AUTO_TEST_CASE(append_answerLostAndNotSeen_isUnknown)
{
    log->failure = { { base::ReasonCode::OutcomeUnknown, "lost" }, false };
    const AppendResult result = client.append(signedBundle(yaml(1, "")), ShortPatience);
    BOOST_TEST((result.effect == AppendEffect::Unknown));
}

BOOST_AUTO_TEST_CASE(verdict_secondSuccessor_doesNotCount)
{
    const std::string first = yaml(1, "");
    client.append(signedBundle(first), Patience);
    const AppendResult again = client.append(signedBundle(first), Patience);
    LogReplay replay(*log);
    BOOST_TEST(replay.verdictOn(1, Patience)->counted);
    const base::Outcome<Verdict> verdict = replay.verdictOn(again.offset, Patience);
    BOOST_TEST(!verdict->counted);
    BOOST_TEST(verdict->reason.find("predecessor") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(verdict_recordNotReached_isNoVerdict)
{
    LogReplay replay(*log);
    BOOST_TEST(!replay.verdictOn(5, ShortPatience).hasValue());
}

BOOST_AUTO_TEST_CASE(bundleInForce_emptyAndUnreadableLog_givesTheReason)
{
    BOOST_TEST((bundleInForce(*log).lastReason().code == base::ReasonCode::NotFound));
    log->unreadable = { base::ReasonCode::Unavailable, "down" };
    BOOST_TEST(bundleInForce(*log).lastReason().text == "down");
}

BOOST_AUTO_TEST_CASE(unconfirmed_instancesBehindOrSilent_areNamed)
{
    client.append(signedBundle(yaml(1, "")), Patience);
    for (const char *id : { "ahead", "behind", "silent" })
        writeFrame(id, 1, 1);
    const std::string digest = control::bundleDigest(yaml(1, ""));
    const base::Offset published = client.append(signedBundle(yaml(2, digest)), Patience).offset;
    writeFrame("ahead", 2, 2);
    writeFrame("behind", 2, 1);
    LogReplay replay(*log);
    BOOST_REQUIRE(replay.catchUp(Patience).hasValue());
    const std::vector<Unconfirmed> missing = unconfirmed(replay.state(), published, 2);
    BOOST_REQUIRE(missing.size() == 2u);
    BOOST_TEST(missing[0].instance.str() == "behind");
    BOOST_TEST(!missing[0].silent);
    BOOST_TEST(missing[1].instance.str() == "silent");
    BOOST_TEST(missing[1].silent);
    writeFrame("behind", 3, 2);
    writeFrame("silent", 2, 2);
    BOOST_REQUIRE(replay.readMore(absl::ZeroDuration()).hasValue());
    BOOST_TEST(unconfirmed(replay.state(), published, 2).empty());
}

BOOST_AUTO_TEST_CASE(frameSummary_recordsAndGarbage_areNamed)
{
    client.append(signedBundle(yaml(1, "")), Patience);
    writeFrame("entry-0", 2, 1);
    BOOST_TEST(summariseFrame(log->records[0]).records == "bundle_published");
    BOOST_TEST(summariseFrame(log->records[1]).records == "heartbeat");
    BOOST_TEST(summariseFrame("garbage").writer == "?");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
