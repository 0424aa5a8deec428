#include "zinniadoor/serving/stream_check.hpp"

#include <random>

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

namespace {

using namespace zinniadoor;
using namespace zinniadoor::serving;

std::string tokenEvent(const std::string &id, std::uint64_t offset)
{
    const std::string number = std::to_string(offset);
    return R"(data: {"id": ")" + id + R"(", "offset": )" + number
        + R"(, "choices": [{"index": 0, "delta": {"content": "w)" + number + R"( "}}]})" + "\n\n";
}

std::string finishEvents(const std::string &id, std::uint64_t tokens)
{
    const std::string number = std::to_string(tokens);
    return R"(data: {"id": ")" + id + R"(", "offset": )" + number
        + R"(, "choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}], )"
        + R"("usage": {"prompt_tokens": 7, "completion_tokens": )" + number + "}}\n\n"
        + "data: [DONE]\n\n";
}

std::string wholeText(std::uint64_t tokens)
{
    std::string text;
    for (std::uint64_t i = 0; i < tokens; ++i)
        text += "w" + std::to_string(i) + " ";
    return text;
}

struct StreamFixture
{
    StreamCheck check { base::RequestId("r1") };
    std::vector<StreamItem> items;

    bool feed(const std::string &bytes) { return check.feed(bytes, items).hasValue(); }

    std::string text() const
    {
        std::string text;
        for (const StreamItem &item : items)
            text += item.text;
        return text;
    }
};

BOOST_FIXTURE_TEST_SUITE(StreamCheckTest, StreamFixture)

BOOST_AUTO_TEST_CASE(stream_complete_yieldsTokensWithoutOffset)
{
    BOOST_TEST(feed(tokenEvent("r1", 0) + tokenEvent("r1", 1) + finishEvents("r1", 2)));
    BOOST_REQUIRE(items.size() == 4);
    const std::string expected
        = R"(data: {"id":"r1","choices":[{"index":0,"delta":{"content":"w0 "}}]})"
          "\n\n";
    BOOST_TEST(items[0].callerBytes == expected);
    BOOST_TEST(items[3].callerBytes == "data: [DONE]\n\n");
    BOOST_TEST(check.end().hasValue());
    BOOST_TEST(check.usage()->promptTokens == 7);
    BOOST_TEST(check.usage()->completionTokens == 2);
    BOOST_TEST(check.finishReason() == "stop");
}

BOOST_AUTO_TEST_CASE(stream_ofAnotherRequest_isRejected)
{
    BOOST_TEST(feed(tokenEvent("r1", 0)));
    BOOST_TEST(!feed(tokenEvent("r2", 1)));
    BOOST_TEST(check.nextOffset() == 1);
    BOOST_TEST(items.size() == 1);
}

BOOST_AUTO_TEST_CASE(stream_duplicateToken_isRejected)
{
    BOOST_TEST(!feed(tokenEvent("r1", 0) + tokenEvent("r1", 0)));
    BOOST_TEST(items.size() == 1);
}

BOOST_AUTO_TEST_CASE(stream_missingToken_isRejectedAndResumed)
{
    BOOST_TEST(!feed(tokenEvent("r1", 0) + tokenEvent("r1", 2)));
    BOOST_TEST(!feed(tokenEvent("r1", 1)));
    check.resume();
    BOOST_TEST(feed(tokenEvent("r1", 1) + tokenEvent("r1", 2) + finishEvents("r1", 3)));
    BOOST_TEST(text() == wholeText(3));
    BOOST_TEST(check.end().hasValue());
}

BOOST_AUTO_TEST_CASE(stream_truncated_isIncomplete)
{
    BOOST_TEST(feed(tokenEvent("r1", 0)));
    BOOST_TEST(!check.end().hasValue());
    BOOST_TEST(!feed("data: [DONE]\n\n"));
}

BOOST_AUTO_TEST_CASE(stream_wrongUsage_isRejected)
{
    StreamCheck other(base::RequestId("r1"));
    std::string finish = finishEvents("r1", 1);
    finish.replace(finish.find("\"completion_tokens\": 1"), 22, "\"completion_tokens\": 5");
    std::vector<StreamItem> accepted;
    BOOST_TEST(!other.feed(tokenEvent("r1", 0) + finish, accepted).hasValue());
    BOOST_TEST(accepted.size() == 1);
}

BOOST_AUTO_TEST_CASE(stream_deeplyNestedJson_isRejected)
{
    BOOST_TEST(!feed("data: " + std::string(30000, '[') + "\n\n"));
}

BOOST_AUTO_TEST_CASE(stream_oversizedEvent_isRejected)
{
    BOOST_TEST(!feed("data: " + std::string(70000, 'x')));
    BOOST_TEST(!feed("\n\n"));
}

BOOST_AUTO_TEST_CASE(splitter_mixedLineEndings_yieldsEachEventOnce)
{
    SseSplitter splitter;
    std::vector<std::string> events;
    BOOST_TEST(splitter.feed("data: a\r", events));
    BOOST_TEST(splitter.feed("\n\r\n: comment\n\ndata:b\ndata: c\n\n", events));
    BOOST_REQUIRE(events.size() == 2);
    BOOST_TEST(events[0] == "a");
    BOOST_TEST(events[1] == "b\nc");
}

// However a stream is cut or corrupted, the tokens passed on are a prefix of the correct answer,
// and resuming completes it.
BOOST_AUTO_TEST_CASE(stream_randomlyCutAndCorrupted_yieldsCorrectPrefixAndResumes)
{
    const bool holds = rc::check([] {
        const auto tokens = *rc::gen::inRange<std::uint64_t>(0, 20);
        const auto seed = *rc::gen::arbitrary<std::uint32_t>();
        std::mt19937 random(seed);
        StreamCheck checked(base::RequestId("r1"));
        std::vector<StreamItem> received;
        for (int attempt = 0; attempt < 200 && !checked.isDone(); ++attempt) {
            std::vector<std::string> events;
            for (std::uint64_t i = checked.nextOffset(); i < tokens; ++i)
                events.push_back(tokenEvent("r1", i));
            events.push_back(finishEvents("r1", tokens));
            const auto at = random() % events.size();
            switch (attempt < 100 ? random() % 6 : 5) {
            case 0:
                events.erase(events.begin() + static_cast<std::ptrdiff_t>(at));
                break;
            case 1:
                events.insert(events.begin() + static_cast<std::ptrdiff_t>(at), events[at]);
                break;
            case 2:
                std::swap(events[at], events[random() % events.size()]);
                break;
            case 3:
                events[at] = tokenEvent("r2", random() % 20);
                break;
            case 4:
                events[at].resize(random() % events[at].size());
                events.resize(at + 1);
                break;
            default:
                break;
            }
            std::string bytes;
            for (const std::string &event : events)
                bytes += event;
            bool isGood = true;
            while (!bytes.empty() && isGood) {
                const std::size_t cut = random() % bytes.size() + 1;
                isGood = checked.feed(bytes.substr(0, cut), received).hasValue();
                bytes.erase(0, cut);
            }
            std::string joined;
            for (const StreamItem &item : received)
                joined += item.text;
            RC_ASSERT(wholeText(tokens).compare(0, joined.size(), joined) == 0);
            if (!checked.isDone())
                checked.resume();
        }
        std::string joined;
        for (const StreamItem &item : received)
            joined += item.text;
        RC_ASSERT(checked.isDone());
        RC_ASSERT(joined == wholeText(tokens));
        RC_ASSERT(checked.usage()->completionTokens == tokens);
    });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_CASE(stream_fuzzedBytes_isAcceptedOrRejected)
{
    constexpr int Rounds = 20000;
    std::mt19937 random(20250301);
    const std::string good = tokenEvent("r1", 0) + finishEvents("r1", 1);
    for (int round = 0; round < Rounds; ++round) {
        std::string bytes = good;
        const auto changes = 1 + random() % 8;
        for (unsigned change = 0; change < changes; ++change)
            bytes[random() % bytes.size()] = static_cast<char>(random());
        StreamCheck other { base::RequestId("r1") };
        std::vector<StreamItem> accepted;
        static_cast<void>(other.feed(bytes, accepted).hasValue());
        BOOST_REQUIRE(accepted.size() <= 3);
        BOOST_REQUIRE(other.nextOffset() <= 1);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
