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

    static void expectInvalid(const std::string &body, const std::string &field)
    {
        const base::Outcome<ModelCall> call = parseModelCall(ModelCallKind::Chat, body);
        BOOST_REQUIRE_MESSAGE(!call, body << " was accepted");
        BOOST_TEST((call.lastReason().code == base::ReasonCode::InvalidArgument));
        BOOST_TEST(call.lastReason().text.find(field) != std::string::npos,
                   call.lastReason().text << " does not name " << field);
    }
};

BOOST_FIXTURE_TEST_SUITE(ModelCallTest, ModelCallFixture)

BOOST_AUTO_TEST_CASE(parseModelCall_validChat_requestsStreamFromEngine)
{
    const auto call = parseModelCall(ModelCallKind::Chat, chat(R"(, "priority": "deferable")"));
    BOOST_REQUIRE(call.hasValue());
    BOOST_TEST(!call->stream);
    BOOST_TEST(!call->urgent);
    BOOST_TEST(call->maxTokens == DefaultMaxTokens);
    BOOST_TEST(call->engineBody.find("\"stream\":true") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(parseModelCall_invalidBody_isRefused)
{
    expectInvalid("", "not JSON");
    expectInvalid("{\"model\": \"\xff\"}", "not JSON");
    expectInvalid(std::string(100000, '['), "nested too deeply");
    expectInvalid("[]", "not a JSON object");
    expectInvalid("{}", "model");
    expectInvalid(R"({"model": 7})", "model");
    expectInvalid(R"({"model": "m"})", "messages");
    expectInvalid(R"({"model": "m", "messages": []})", "messages");
    expectInvalid(R"({"model": "m", "messages": [{}]})", "messages");
    expectInvalid(R"({"model": "m", "messages": [{"role": "user", "content": 4}]})", "messages");
}

BOOST_AUTO_TEST_CASE(parseModelCall_invalidOption_isRefusedNamingField)
{
    for (const char *value : { "0", "-1", "1.5", "131073", "\"9\"", "true", "1e99" })
        expectInvalid(chat(std::string(R"(, "max_tokens": )") + value), "max_tokens");
    expectInvalid(chat(R"(, "stream": 1)"), "stream");
    expectInvalid(chat(R"(, "priority": "now")"), "priority");
    expectInvalid(chat(R"(, "priority": null)"), "priority");
    for (const char *value : { "0", "-5", "3600001", "\"1\"", "null" })
        expectInvalid(chat(std::string(R"(, "deadline_ms": )") + value), "deadline_ms");
}

BOOST_AUTO_TEST_CASE(parseModelCall_completionWithoutPrompt_isRefused)
{
    BOOST_TEST(!parseModelCall(ModelCallKind::Completion, R"({"model": "m"})").hasValue());
    BOOST_TEST(
        parseModelCall(ModelCallKind::Completion, R"({"model": "m", "prompt": "p"})").hasValue());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
