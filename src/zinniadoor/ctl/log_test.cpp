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

constexpr absl::Duration LogTimeout = absl::Seconds(30);
constexpr absl::Duration ShortTimeout = absl::Milliseconds(20);

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

    /// Writes a frame of instance `id`; its first frame also records its start.
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

BOOST_AUTO_TEST_CASE(append_stored_isAppended)
{
    const AppendResult result = client.append(signedBundle(yaml(1, "")), LogTimeout);
    BOOST_TEST((result.status == AppendStatus::Appended));
    BOOST_TEST(result.offset == 1u);
}

BOOST_AUTO_TEST_CASE(append_rejected_isNotAppended)
{
    log->failure = { { base::ReasonCode::Unavailable, "full" }, false };
    const AppendResult result = client.append(signedBundle(yaml(1, "")), LogTimeout);
    BOOST_TEST((result.status == AppendStatus::NotAppended));
    BOOST_TEST(result.reason.text == "full");
}

BOOST_AUTO_TEST_CASE(append_storedResponseLost_isFoundByWriter)
{
    log->records.push_back("no frame");
    log->failure = { { base::ReasonCode::OutcomeUnknown, "lost" }, true };
    const AppendResult result = client.append(signedBundle(yaml(1, "")), LogTimeout);
    BOOST_TEST((result.status == AppendStatus::Appended));
    BOOST_TEST(result.offset == 2u);
}

BOOST_AUTO_TEST_CASE(append_responseLostNotFound_isUnknown)
{
    log->failure = { { base::ReasonCode::OutcomeUnknown, "lost" }, false };
    const AppendResult result = client.append(signedBundle(yaml(1, "")), ShortTimeout);
    BOOST_TEST((result.status == AppendStatus::Unknown));
}

BOOST_AUTO_TEST_CASE(waitForOutcome_secondSuccessor_isRejected)
{
    const std::string first = yaml(1, "");
    client.append(signedBundle(first), LogTimeout);
    const AppendResult again = client.append(signedBundle(first), LogTimeout);
    LogReplay replay(*log);
    BOOST_TEST(replay.waitForOutcome(1, LogTimeout)->accepted);
    const base::Outcome<RecordOutcome> outcome = replay.waitForOutcome(again.offset, LogTimeout);
    BOOST_TEST(!outcome->accepted);
    BOOST_TEST(outcome->reason.find("predecessor") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(waitForOutcome_recordNotReached_fails)
{
    LogReplay replay(*log);
    BOOST_TEST(!replay.waitForOutcome(5, ShortTimeout).hasValue());
}

BOOST_AUTO_TEST_CASE(readActiveBundle_emptyOrUnreadableLog_returnsReason)
{
    BOOST_TEST((readActiveBundle(*log).lastReason().code == base::ReasonCode::NotFound));
    log->unreadable = { base::ReasonCode::Unavailable, "down" };
    BOOST_TEST(readActiveBundle(*log).lastReason().text == "down");
}

BOOST_AUTO_TEST_CASE(unconfirmedInstances_behindOrSilent_areListed)
{
    client.append(signedBundle(yaml(1, "")), LogTimeout);
    for (const char *id : { "ahead", "behind", "silent" })
        writeFrame(id, 1, 1);
    const std::string digest = control::bundleDigest(yaml(1, ""));
    const base::Offset published = client.append(signedBundle(yaml(2, digest)), LogTimeout).offset;
    writeFrame("ahead", 2, 2);
    writeFrame("behind", 2, 1);
    LogReplay replay(*log);
    BOOST_REQUIRE(replay.catchUp(LogTimeout).hasValue());
    const std::vector<UnconfirmedInstance> missing
        = unconfirmedInstances(replay.state(), published, 2);
    BOOST_REQUIRE(missing.size() == 2u);
    BOOST_TEST(missing[0].instance.str() == "behind");
    BOOST_TEST(!missing[0].silent);
    BOOST_TEST(missing[1].instance.str() == "silent");
    BOOST_TEST(missing[1].silent);
    writeFrame("behind", 3, 2);
    writeFrame("silent", 2, 2);
    BOOST_REQUIRE(replay.readPage(absl::ZeroDuration()).hasValue());
    BOOST_TEST(unconfirmedInstances(replay.state(), published, 2).empty());
}

BOOST_AUTO_TEST_CASE(frameSummary_recordsAndGarbage_areSummarised)
{
    client.append(signedBundle(yaml(1, "")), LogTimeout);
    writeFrame("entry-0", 2, 1);
    BOOST_TEST(summariseFrame(log->records[0]).records == "bundle_published");
    BOOST_TEST(summariseFrame(log->records[1]).records == "heartbeat");
    BOOST_TEST(summariseFrame("garbage").writer == "?");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
