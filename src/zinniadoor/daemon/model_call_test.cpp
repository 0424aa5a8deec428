#include <string>

#include <boost/test/unit_test.hpp>

#include "zinniadoor/daemon/model_call.hpp"

namespace {

using namespace zinniadoor;
using namespace zinniadoor::daemon;

struct ModelCallFixture
{
    static std::string chat(const std::string &more)
    {
        return R"({"model": "parrot", "messages": [{"role": "user", "content": "hi"}])" + more
            + "}";
    }

    static void refuses(const std::string &body, const std::string &named)
    {
        const base::Outcome<ModelCall> call = parseModelCall(ModelCallKind::Chat, body);
        BOOST_REQUIRE_MESSAGE(!call, body << " was taken");
        BOOST_TEST((call.lastReason().code == base::ReasonCode::InvalidArgument));
        BOOST_TEST(call.lastReason().text.find(named) != std::string::npos,
                   call.lastReason().text << " names no " << named);
    }
};

BOOST_FIXTURE_TEST_SUITE(ModelCallTest, ModelCallFixture)

BOOST_AUTO_TEST_CASE(parseModelCall_goodChat_streamsTowardsTheEngine)
{
    const auto call = parseModelCall(ModelCallKind::Chat, chat(R"(, "priority": "deferable")"));
    BOOST_REQUIRE(call.hasValue());
    BOOST_TEST(!call->stream);
    BOOST_TEST(!call->urgent);
    BOOST_TEST(call->maxTokens == DefaultMaxTokens);
    BOOST_TEST(call->engineBody.find("\"stream\":true") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(parseModelCall_badBodies_areRefused)
{
    refuses("", "not JSON");
    refuses("{\"model\": \"\xff\"}", "not JSON");
    refuses(std::string(100000, '['), "nested too deeply");
    refuses("[]", "not a JSON object");
    refuses("{}", "model");
    refuses(R"({"model": 7})", "model");
    refuses(R"({"model": "m"})", "messages");
    refuses(R"({"model": "m", "messages": []})", "messages");
    refuses(R"({"model": "m", "messages": [{}]})", "messages");
    refuses(R"({"model": "m", "messages": [{"role": "user", "content": 4}]})", "messages");
}

BOOST_AUTO_TEST_CASE(parseModelCall_badOptions_nameTheField)
{
    for (const char *value : { "0", "-1", "1.5", "131073", "\"9\"", "true", "1e99" })
        refuses(chat(std::string(R"(, "max_tokens": )") + value), "max_tokens");
    refuses(chat(R"(, "stream": 1)"), "stream");
    refuses(chat(R"(, "priority": "now")"), "priority");
    refuses(chat(R"(, "priority": null)"), "priority");
    for (const char *value : { "0", "-5", "3600001", "\"1\"", "null" })
        refuses(chat(std::string(R"(, "deadline_ms": )") + value), "deadline_ms");
}

BOOST_AUTO_TEST_CASE(parseModelCall_completionWithoutPrompt_isRefused)
{
    BOOST_TEST(!parseModelCall(ModelCallKind::Completion, R"({"model": "m"})").hasValue());
    BOOST_TEST(
        parseModelCall(ModelCallKind::Completion, R"({"model": "m", "prompt": "p"})").hasValue());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
