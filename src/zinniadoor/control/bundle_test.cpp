#include "zinniadoor/control/bundle.hpp"

#include <boost/test/unit_test.hpp>

#include "absl/strings/str_replace.h"

namespace {

using namespace zinniadoor;
using namespace zinniadoor::control;

struct BundleFixture
{
    KeyPair pair = generateKeyPair();
    std::string yaml = "version: 1\n"
                       "usage_window: 30s\n"
                       "operators:\n"
                       "  - {id: ama, public_key: "
        + pair.publicKey
        + "}\n"
          "organisations:\n"
          "  - id: feathercraft\n"
          "    rate_per_second: 40\n"
          "    burst: 80\n"
          "    keys: [{id: k1, salt: s, digest: "
        + keyDigest("s", "secret")
        + "}]\n"
          "models: [{id: parrot}]\n"
          "endpoints:\n"
          "  - {id: e1, kind: engine, data_centre: accra, address: '127.0.0.1:9000', models: "
          "[parrot]}\n"
          "  - {id: s1, kind: service, data_centre: accra, address: '127.0.0.1:9001'}\n"
          "routes: [{id: swap, prefix: /swap, endpoints: [s1], idempotent: false}]\n"
          "objectives: [{route: chat, first_byte: 900ms, target: 0.99}]\n";

    std::string faultsAfter(const char *from, const char *to) const
    {
        const auto bundle = parseBundle(absl::StrReplaceAll(yaml, { { from, to } }), "b.yaml");
        return bundle ? "" : bundle.lastReason().text;
    }

    bool hasFault(const char *from, const char *to, const char *fault) const
    {
        return faultsAfter(from, to).find(fault) != std::string::npos;
    }
};

BOOST_FIXTURE_TEST_SUITE(BundleTest, BundleFixture)

BOOST_AUTO_TEST_CASE(bundle_valid_isParsed)
{
    const auto bundle = parseBundle(yaml, "b.yaml");
    BOOST_REQUIRE_MESSAGE(bundle.hasValue(), bundle.lastReason().text);
    BOOST_TEST(bundle->usageWindowSeconds == 30u);
    BOOST_TEST(bundle->organisations.at(0).keys.at(0).digest == keyDigest("s", "secret"));
    BOOST_TEST((bundle->endpoints.at(1).kind == EndpointKind::Service));
    BOOST_TEST(!bundle->routes.at(0).idempotent);
    BOOST_TEST(bundle->objectives.at(0).firstByteMilliseconds == 900u);
}

BOOST_AUTO_TEST_CASE(bundle_invalid_reportsEveryFault)
{
    BOOST_TEST(hasFault("id: s1", "id: e1", "'e1' stands twice"));
    BOOST_TEST(hasFault("[s1]", "[s9]", "names no known endpoint 's9'"));
    BOOST_TEST(hasFault("[s1]", "[e1]", "'e1' is not a service"));
    BOOST_TEST(hasFault("[parrot]", "[crow]", "names no known model 'crow'"));
    BOOST_TEST(hasFault("/swap", "swap", "does not begin with '/'"));
    BOOST_TEST(hasFault("/swap", "/v1/chat", "lies under /v1"));
    BOOST_TEST(hasFault("burst: 80", "burst: -1", "b.yaml:8: organisations[0].burst"));
    BOOST_TEST(hasFault("target: 0.99", "target: 2", "outside 0 to 1"));
    BOOST_TEST(hasFault("version: 1\n", "version: 2\n", "must be absent in version 1"));
    BOOST_TEST(hasFault("usage_window", "usage_widow", "is not a known key"));
    BOOST_TEST(hasFault("version: 1\n", "version: 1\nsignatures_needed: 2\n", "more than there"));
}

BOOST_AUTO_TEST_CASE(signatures_ofTextAndOthers_countOncePerOperator)
{
    const std::vector<Operator> operators { { "ama", pair.publicKey } };
    const Signature valid = *signText(yaml, "ama", pair.secretKey);
    const Signature foreign = *signText(yaml, "ama", generateKeyPair().secretKey);
    BOOST_TEST(countValidSignatures(yaml, { valid, valid }, operators) == 1u);
    BOOST_TEST(countValidSignatures(yaml + " ", { valid }, operators) == 0u);
    BOOST_TEST(countValidSignatures(yaml, { foreign, { "ama", "zz" } }, operators) == 0u);
}

BOOST_AUTO_TEST_CASE(callerKey_validOrMalformed_isParsedOrRejected)
{
    const auto key = parseCallerKey("zd_k1_se_cret");
    BOOST_REQUIRE(key.hasValue());
    BOOST_TEST(key->id.str() == "k1");
    BOOST_TEST(key->secret == "se_cret");
    for (const char *malformed : { "", "zd_", "zd_k1", "zd_k1_", "zd__x", "xx_k1_s" })
        BOOST_TEST(!parseCallerKey(malformed).hasValue());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
