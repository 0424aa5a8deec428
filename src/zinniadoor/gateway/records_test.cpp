#include <fstream>
#include <random>
#include <regex>
#include <set>
#include <sstream>

#include <boost/test/unit_test.hpp>

#include "zinniadoor/base/codec.hpp"
#include "zinniadoor/gateway/cluster_time.hpp"
#include "zinniadoor/gateway/configuration.hpp"
#include "zinniadoor/gateway/crash_report_queue.hpp"
#include "zinniadoor/gateway/endpoint_directory.hpp"
#include "zinniadoor/gateway/endpoint_failures_message.hpp"
#include "zinniadoor/gateway/event_framer.hpp"
#include "zinniadoor/gateway/gateway_settings.hpp"
#include "zinniadoor/gateway/journal.hpp"
#include "zinniadoor/gateway/log_part.hpp"
#include "zinniadoor/gateway/peer_table.hpp"
#include "zinniadoor/gateway/retry_budget.hpp"

namespace {

using namespace zinniadoor;
using namespace zinniadoor::gateway;

struct RecordsFixture
{
    absl::Time at(int milliseconds) const
    {
        return absl::FromUnixSeconds(1000) + absl::Milliseconds(milliseconds);
    }

    static EndpointRecord endpoint(const std::string &id, std::uint64_t startTimeMs = 1)
    {
        EndpointRecord record;
        record.id = base::EndpointId(id);
        record.service = "s";
        record.address = "10.0.0.1:80";
        record.startTimeMs = startTimeMs;
        return record;
    }

    static PeerMessage message(const std::string &instance, std::uint64_t incarnation,
                               std::uint64_t sequence)
    {
        PeerMessage message;
        message.sender = { instance, incarnation };
        message.sequence = sequence;
        return message;
    }

    static serving::CrashReports partReports()
    {
        return { { { 5, 8, base::EndpointId("e"), absl::Milliseconds(10) },
                   { 6, 9, base::EndpointId("f"), absl::Seconds(2) } },
                 { { 7, absl::Milliseconds(20) } } };
    }
};

BOOST_FIXTURE_TEST_SUITE(GatewayRecordsTest, RecordsFixture)

BOOST_AUTO_TEST_CASE(findRoute_severalMatchingPrefixes_returnsLongest)
{
    Configuration::Parts parts;
    for (const char *prefix : { "/", "/a/", "/a/b/" }) {
        Route route;
        route.host = "h";
        route.pathPrefix = prefix;
        parts.routes.push_back(route);
    }
    const Configuration configuration(std::move(parts));
    BOOST_TEST(configuration.findRoute("h", "/a/b/c")->pathPrefix == "/a/b/");
    BOOST_TEST(configuration.findRoute("h", "/a/bc")->pathPrefix == "/a/");
    BOOST_TEST(configuration.findRoute("h", "/x")->pathPrefix == "/");
    BOOST_TEST(configuration.findRoute("other", "/a/") == nullptr);
}

BOOST_AUTO_TEST_CASE(eventFramer_streamSplitAnywhere_returnsSameEvents)
{
    const std::string stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: none\n\n";
    for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
        EventFramer framer;
        std::string joined;
        std::vector<std::uint64_t> ids;
        for (const std::string &piece : { stream.substr(0, cut), stream.substr(cut) }) {
            const auto events = framer.feed(piece);
            BOOST_REQUIRE(events.has_value());
            for (const StreamEvent &event : *events) {
                joined += event.bytes;
                if (event.id)
                    ids.push_back(*event.id);
            }
        }
        BOOST_TEST(joined == stream);
        BOOST_TEST(ids.size() == 2u);
        BOOST_TEST(!framer.hasPartialEvent());
    }
}

// Each piece was searched together with all bytes of the event before it.
BOOST_AUTO_TEST_CASE(eventFramer_longEventInSmallPieces_returnsSameEvents)
{
    constexpr std::size_t Lines = 20000;
    std::string event = "id: 7\n";
    for (std::size_t i = 0; i < Lines; ++i)
        event += "data: x\r\n";
    event += "\r\n";
    EventFramer framer;
    std::vector<StreamEvent> events;
    for (const char byte : event + "id: 8\n\n" + event.substr(0, 20)) {
        const auto completed = framer.feed(absl::string_view(&byte, 1));
        BOOST_REQUIRE(completed.has_value());
        events.insert(events.end(), completed->begin(), completed->end());
    }
    BOOST_REQUIRE(events.size() == 2u);
    BOOST_TEST(events[0].bytes == event);
    BOOST_TEST(events[1].bytes == "id: 8\n\n");
    BOOST_TEST(framer.pendingBytes() == 20u);
}

BOOST_AUTO_TEST_CASE(eventFramer_streamEndsInsideEvent_reportsPartialEvent)
{
    EventFramer framer;
    BOOST_TEST(framer.feed("id: 1\ndata: a\n\nid: 2\nda")->size() == 1u);
    BOOST_TEST(framer.hasPartialEvent());
}

BOOST_AUTO_TEST_CASE(directory_findByDigest_returnsEndpointWhileListed)
{
    EndpointDirectory directory(DirectoryOptions {});
    const base::EndpointId id("e");
    directory.set(endpoint("e"), at(0));
    directory.set(endpoint("f"), at(0));
    BOOST_REQUIRE(directory.findByDigest(digestOf(id)));
    BOOST_TEST(*directory.findByDigest(digestOf(id)) == id);
    directory.remove(id, at(0));
    BOOST_TEST(!directory.findByDigest(digestOf(id)));
}

BOOST_AUTO_TEST_CASE(directory_leavingEndpoint_isNotUsable)
{
    EndpointDirectory directory(DirectoryOptions {});
    EndpointRecord record = endpoint("e");
    directory.set(record, at(0));
    BOOST_TEST(directory.isUsable(record.id, at(0)));
    record.leaving = true;
    BOOST_TEST(directory.set(record, at(1)));
    BOOST_TEST(!directory.isUsable(record.id, at(1)));
    BOOST_TEST(directory.usable("s", at(1)).empty());
}

BOOST_AUTO_TEST_CASE(directory_consecutiveFailures_suspectedUntilFirstSuccess)
{
    EndpointDirectory directory(DirectoryOptions {});
    const base::EndpointId id("e");
    directory.set(endpoint("e"), at(0));
    BOOST_TEST(!directory.noteFailure(id, at(0)));
    BOOST_TEST(directory.noteFailure(id, at(1)));
    BOOST_TEST(!directory.isUsable(id, at(500)));
    BOOST_TEST(directory.usable("s", at(500)).size() == 1u); // The only endpoint of the service.
    directory.noteSuccess(id);
    BOOST_TEST(directory.isUsable(id, at(500)));
}

BOOST_AUTO_TEST_CASE(directory_restartedEndpoint_isNotSuspected)
{
    EndpointDirectory directory(DirectoryOptions {});
    const base::EndpointId id("e");
    directory.set(endpoint("e", 1), at(0));
    directory.noteFailure(id, at(0));
    directory.noteFailure(id, at(0));
    BOOST_TEST(directory.set(endpoint("e", 2), at(10)));
    BOOST_TEST(directory.isUsable(id, at(10)));
}

BOOST_AUTO_TEST_CASE(directory_consecutiveSheds_pauseDoubles)
{
    EndpointDirectory directory(DirectoryOptions {});
    const base::EndpointId id("e");
    directory.set(endpoint("e"), at(0));
    directory.noteShed(id, at(0));
    BOOST_TEST(!directory.isUsable(id, at(99)));
    BOOST_TEST(directory.isUsable(id, at(100)));
    directory.noteShed(id, at(100));
    BOOST_TEST(!directory.isUsable(id, at(299)));
    BOOST_TEST(directory.isUsable(id, at(300)));
}

BOOST_AUTO_TEST_CASE(directory_replacedEndpoint_isUsableOnceListedAgain)
{
    EndpointDirectory directory(DirectoryOptions {});
    const base::EndpointId id("e");
    directory.set(endpoint("e"), at(0));
    directory.noteReplaced(id, at(0));
    directory.set(endpoint("e"), at(1000));
    BOOST_TEST(!directory.isUsable(id, at(1000)));
    directory.set(endpoint("e"), at(3100));
    BOOST_TEST(directory.isUsable(id, at(3100)));
}

BOOST_AUTO_TEST_CASE(retryBudget_oneWindow_limitedToRatioAndSlackShare)
{
    RetryBudget budget({ 0.2, 56, absl::Seconds(10) });
    budget.setInstances(8);
    for (int i = 0; i < 100; ++i)
        budget.noteRequest("s", at(i));
    int retries = 0;
    for (int i = 0; i < 200; ++i)
        retries += budget.take("s", at(200 + i)) ? 1 : 0;
    BOOST_TEST(retries <= 27); // 0.2 x 100 + 56 / 8.
    BOOST_TEST(retries >= 20);
    BOOST_TEST(!budget.take("other", at(500)) == false); // From the slack alone.
}

BOOST_AUTO_TEST_CASE(usageLedger_duplicateRecord_countedOnce)
{
    UsageLedger ledger;
    JournalRecord record;
    record.kind = JournalRecordKind::Usage;
    record.process = { "a", 1 };
    record.window = 4;
    record.counts = { { "org", 5 } };
    ledger.apply(record);
    ledger.apply(record);
    BOOST_TEST(ledger.sum(4, {}).at("org") == 5u);
}

BOOST_AUTO_TEST_CASE(usageLedger_processWithoutRecord_receivedCountsAreUsed)
{
    UsageLedger ledger;
    JournalRecord record;
    record.kind = JournalRecordKind::Usage;
    record.process = { "a", 1 };
    record.window = 4;
    record.counts = { { "org", 5 } };
    ledger.apply(record);
    const std::map<ProcessName, UsageCounts> received
        = { { { "a", 1 }, { { "org", 3 } } }, { { "b", 1 }, { { "org", 2 } } } };
    BOOST_TEST(ledger.sum(4, received).at("org") == 7u);
}

BOOST_AUTO_TEST_CASE(peerTable_lateOrDuplicateMessage_isIgnored)
{
    PeerTable peers({ "self", 1 });
    BOOST_TEST(peers.noteMessage(message("p", 1, 5), "10.0.0.2:1", at(0)));
    BOOST_TEST(!peers.noteMessage(message("p", 1, 5), "10.0.0.2:1", at(1)));
    BOOST_TEST(!peers.noteMessage(message("p", 1, 4), "10.0.0.2:1", at(1)));
    BOOST_TEST(peers.noteMessage(message("p", 2, 1), "10.0.0.2:1", at(1)));
    BOOST_TEST(!peers.noteMessage(message("p", 1, 9), "10.0.0.2:1", at(2)));
    BOOST_TEST(!peers.noteMessage(message("self", 9, 9), "10.0.0.2:1", at(2)));
}

BOOST_AUTO_TEST_CASE(peerTable_silentPeer_isTrackedButNotActive)
{
    PeerTable peers({ "self", 1 });
    peers.noteMessage(message("p", 1, 1), "10.0.0.2:1", at(0));
    BOOST_TEST(peers.membership(at(100)).reachable == 2u);
    BOOST_TEST(peers.membership(at(5000)).reachable == 1u);
    BOOST_TEST(peers.membership(at(5000)).tracked == 2u);
    peers.noteStopped({ "p", 1 });
    BOOST_TEST(peers.membership(at(5000)).tracked == 1u);
}

BOOST_AUTO_TEST_CASE(peerTable_shortMessages_shareSequenceWithFullMessages)
{
    PeerTable peers({ "self", 1 });
    BOOST_TEST(!peers.noteLiveness({ "p", 1 }, 1, at(0))); // No full message received yet.
    BOOST_TEST(peers.noteMessage(message("p", 1, 2), "10.0.0.2:1", at(0)));
    BOOST_TEST(!peers.noteLiveness({ "p", 1 }, 2, at(10)));
    BOOST_TEST(peers.noteLiveness({ "p", 1 }, 3, at(10)));
    BOOST_TEST(!peers.noteMessage(message("p", 1, 3), "10.0.0.2:1", at(20)));
    BOOST_TEST(!peers.noteLiveness({ "p", 2 }, 9, at(30))); // Unknown incarnation.
    BOOST_TEST(peers.membership(at(1500)).reachable == 2u);
    BOOST_TEST(peers.membership(at(1520)).reachable == 1u);
}

BOOST_AUTO_TEST_CASE(peerTable_firstMessageOfEachProcess_isCounted)
{
    PeerTable peers({ "self", 1 });
    peers.noteStarted({ "p", 1 }, "10.0.0.2:1", "d");
    BOOST_TEST(peers.heardProcesses() == 0u);
    peers.noteMessage(message("p", 1, 5), "10.0.0.2:1", at(0));
    peers.noteMessage(message("p", 1, 6), "10.0.0.2:1", at(1));
    BOOST_TEST(peers.heardProcesses() == 1u);
    peers.noteMessage(message("p", 2, 1), "10.0.0.2:1", at(2)); // Restarted, never unreachable.
    BOOST_TEST(peers.heardProcesses() == 2u);
    peers.noteMessage(message("p", 1, 7), "10.0.0.2:1", at(3));
    peers.noteMessage(message("self", 9, 9), "10.0.0.2:1", at(4));
    BOOST_TEST(peers.heardProcesses() == 2u);
    peers.noteStarted({ "q", 1 }, "10.0.0.3:1", "d");
    BOOST_TEST(peers.noteLiveness({ "q", 1 }, 3, at(5)));
    BOOST_TEST(peers.noteLiveness({ "q", 1 }, 4, at(6)));
    BOOST_TEST(peers.heardProcesses() == 3u);
}

BOOST_AUTO_TEST_CASE(trueTime_oneClockAhead_medianIsUsed)
{
    ClusterTime time(at(0), absl::FromUnixSeconds(5000) + absl::Seconds(3)); // Runs 3 s ahead.
    time.setPeerOffsets(std::vector<absl::Duration>(6, absl::Seconds(-3)));
    BOOST_TEST((time.at(at(1000)) == absl::FromUnixSeconds(5001)));
}

BOOST_AUTO_TEST_CASE(formatOf_eachMessageType_isUnique)
{
    BOOST_TEST(formatOf(base::encode(PeerMessage {})) == PeerMessage::CurrentFormat);
    BOOST_TEST(formatOf(base::encode(LogPart {})) == LogPart::CurrentFormat);
    BOOST_TEST(formatOf(base::encode(ConsumptionMessage {})) == ConsumptionMessage::CurrentFormat);
    BOOST_TEST(formatOf(base::encode(LeaderMessage {})) == LeaderMessage::CurrentFormat);
    BOOST_TEST(formatOf(base::encode(UsageWrittenNotice {})) == UsageWrittenNotice::CurrentFormat);
    BOOST_TEST(formatOf(base::encode(LimitsMessage {})) == LimitsMessage::CurrentFormat);
    BOOST_TEST(formatOf(base::encode(EndpointFailuresMessage {}))
               == EndpointFailuresMessage::CurrentFormat);
    BOOST_TEST(formatOf(base::encode(BodyReportsMessage {})) == BodyReportsMessage::CurrentFormat);
    BOOST_TEST(formatOf("") == 0);
    const std::set<std::uint8_t> formats {
        PeerMessage::CurrentFormat,        LogPart::CurrentFormat,
        ConsumptionMessage::CurrentFormat, LeaderMessage::CurrentFormat,
        UsageWrittenNotice::CurrentFormat, LimitsMessage::CurrentFormat,
        BodyReportsMessage::CurrentFormat, EndpointFailuresMessage::CurrentFormat,
    };
    BOOST_TEST(formats.size() == 8u);
}

BOOST_AUTO_TEST_CASE(peerMessage_truncatedAnywhere_isRejected)
{
    PeerMessage sent = message("p", 1, 7);
    sent.loads.push_back({ 17, serving::EngineLoad::ofRequest(100, 0) });
    sent.prefixes.push_back({ 17, { { 1, 2 } } });
    sent.usage[4] = { { "org", 1 } };
    sent.partReports = partReports();
    const std::string bytes = base::encode(sent);
    BOOST_TEST(base::decode<PeerMessage>(bytes)->sequence == 7u);
    for (std::size_t cut = 0; cut < bytes.size(); ++cut)
        BOOST_TEST(!base::decode<PeerMessage>(bytes.substr(0, cut)).hasValue());
}

BOOST_AUTO_TEST_CASE(leaderMessage_truncatedAnywhere_isRejected)
{
    LeaderMessage sent;
    sent.sequence = 7;
    sent.prefixes.push_back({ 17, { { 1, 2 } } });
    sent.partReports = partReports();
    const std::string bytes = base::encode(sent);
    BOOST_TEST(base::decode<LeaderMessage>(bytes)->sequence == 7u);
    for (std::size_t cut = 0; cut < bytes.size(); ++cut)
        BOOST_TEST(!base::decode<LeaderMessage>(bytes.substr(0, cut)).hasValue());
}

BOOST_AUTO_TEST_CASE(messages_partReports_arriveUnchanged)
{
    PeerMessage message;
    message.partReports = partReports();
    LeaderMessage sums;
    sums.partReports = partReports();
    const std::string expected = base::encode(partReports());
    const auto received = base::decode<PeerMessage>(base::encode(message));
    const auto receivedSums = base::decode<LeaderMessage>(base::encode(sums));
    BOOST_REQUIRE(received.hasValue());
    BOOST_REQUIRE(receivedSums.hasValue());
    BOOST_TEST(base::encode(received->partReports) == expected);
    BOOST_TEST(base::encode(receivedSums->partReports) == expected);
    const serving::SuspectCrash &crash = received->partReports.crashes.at(1);
    BOOST_TEST(crash.key == 6u);
    BOOST_TEST(crash.request == 9u);
    BOOST_TEST(crash.endpoint == base::EndpointId("f"));
    BOOST_TEST((crash.age == absl::Seconds(2)));
    BOOST_TEST(received->partReports.successes.at(0).key == 7u);
    BOOST_TEST((received->partReports.successes.at(0).age == absl::Milliseconds(20)));
}

BOOST_AUTO_TEST_CASE(bodyReports_ofAllKinds_arriveUnchanged)
{
    BodyReportsMessage message;
    message.sender = { "i1", 3 };
    message.reports = partReports();
    message.reports.trials.push_back({ 11, absl::Seconds(4) });
    const std::string bytes = base::encode(message);
    BOOST_TEST(formatOf(bytes) == BodyReportsMessage::CurrentFormat);
    const auto received = base::decode<BodyReportsMessage>(bytes);
    BOOST_REQUIRE(received.hasValue());
    BOOST_TEST((received->sender == message.sender));
    BOOST_TEST(base::encode(received->reports) == base::encode(partReports()));
    BOOST_REQUIRE(received->reports.trials.size() == 1u);
    BOOST_TEST(received->reports.trials[0].key == 11u);
    BOOST_TEST((received->reports.trials[0].age == absl::Seconds(4)));
    for (std::size_t cut = 0; cut < bytes.size(); ++cut)
        BOOST_TEST(!base::decode<BodyReportsMessage>(bytes.substr(0, cut)).hasValue());
}

// Whatever is decoded is applied; the list stays within its limits and never fails.
BOOST_AUTO_TEST_CASE(messages_anyBytesChanged_areRejectedOrHarmless)
{
    PeerMessage message;
    message.crashes.push_back({ "body", base::EndpointId("e"), absl::Seconds(1) });
    message.partReports = partReports();
    LeaderMessage sums;
    sums.crashes = message.crashes;
    sums.partReports = partReports();
    BodyReportsMessage bodies;
    bodies.reports = partReports();
    bodies.reports.trials.push_back({ 5, absl::Seconds(4) });
    std::mt19937 random(20250301);
    serving::CrashEvidenceOptions options;
    options.capacity = 20;
    serving::CrashEvidence list(options);
    CrashReportQueue queue;
    const auto apply = [&](const serving::CrashReports &reports, int i) {
        queue.push(list.merge(reports, at(i)).reply, at(i));
        queue.push(reports, at(i));
        const serving::CrashReports next = queue.take(at(i));
        BOOST_TEST(next.crashes.size() <= CrashReportQueue::MaxCrashesPerMessage);
        BOOST_TEST(next.successes.size() <= CrashReportQueue::MaxSuccessesPerMessage);
        BOOST_TEST(base::decode<serving::CrashReports>(base::encode(next)).hasValue());
        list.entries(at(i), 8);
        BOOST_TEST(list.size() <= 20u);
    };
    int applied = 0;
    for (int i = 0; i < 20000; ++i) {
        std::string bytes = i % 2 == 0 ? base::encode(message) : base::encode(sums);
        if (i % 3 == 0)
            bytes = base::encode(bodies);
        for (std::uint32_t change = 0; change <= random() % 4; ++change)
            bytes[random() % bytes.size()] = static_cast<char>(random());
        if (random() % 8 == 0)
            bytes.resize(random() % bytes.size());
        if (const auto read = base::decode<PeerMessage>(bytes)) {
            apply(read->partReports, i);
            ++applied;
        }
        if (const auto read = base::decode<LeaderMessage>(bytes)) {
            apply(read->partReports, i);
            ++applied;
        }
        if (const auto read = base::decode<BodyReportsMessage>(bytes)) {
            apply(read->reports, i);
            ++applied;
        }
    }
    BOOST_TEST(applied > 1000);
}

BOOST_AUTO_TEST_CASE(settings_missingOrInvalidKeys_reportedWithFileAndKey)
{
    const auto settings = parseGatewaySettings("instance: {id: a}\n"
                                               "listen: {callers: nowhere}\n",
                                               "s.yaml");
    BOOST_REQUIRE(!settings.hasValue());
    for (const char *fault : { "s.yaml:1: instance.data_centre", "s.yaml:2: listen.callers",
                               "listen.readiness", "store", "duties" })
        BOOST_TEST(settings.lastReason().text.find(fault) != std::string::npos,
                   fault << " in " << settings.lastReason().text);
}

BOOST_AUTO_TEST_CASE(settings_completeFileWithUnknownKey_isAccepted)
{
    const auto settings = parseGatewaySettings(
        "instance: {id: a, data_centre: d}\n"
        "listen: {callers: '127.0.0.1:1', readiness: '127.0.0.1:2', peers: '127.0.0.1:3', "
        "metrics: '127.0.0.1:4'}\n"
        "store: {address: '127.0.0.1:5'}\n"
        "duties: {address: '127.0.0.1:6', lease: 3000ms, usage_window: 5s, usage_due: 10s}\n"
        "stop: {time: 8s}\nretries: {ratio: 0.2, slack: 56, window: 10s}\nnew_part: {a: 1}\n",
        "s.yaml");
    BOOST_REQUIRE_MESSAGE(settings.hasValue(), settings.lastReason().text);
    BOOST_TEST((settings->lease == absl::Seconds(3)));
}

BOOST_AUTO_TEST_CASE(settings_eachKeyRead_isDocumented)
{
    const auto contentOf = [](const std::string &path) {
        const std::ifstream in(std::string(ZINNIADOOR_ROOT) + "/" + path);
        std::ostringstream text;
        text << in.rdbuf();
        return text.str();
    };
    const std::string page = contentOf("docs/GATEWAY.md");
    const std::string source = contentOf("src/zinniadoor/gateway/gateway_settings.cpp");
    const std::regex key("\\(\\s*(?:\\w+, )?\"([a-z_]+)\"");
    std::size_t keys = 0;
    for (std::sregex_iterator it(source.begin(), source.end(), key), end; it != end; ++it) {
        ++keys;
        BOOST_TEST(page.find((*it)[1].str()) != std::string::npos, (*it)[1].str());
    }
    BOOST_TEST(keys > 20u);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
