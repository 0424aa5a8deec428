#include <boost/test/unit_test.hpp>

#include <rapidcheck.h>

#include "absl/strings/str_cat.h"

#include "zinniadoor/control/configuration_chain.hpp"

namespace {

using namespace zinniadoor;
using namespace zinniadoor::control;

struct ConfigurationFixture
{
    // Three operators; two signatures are required.
    std::vector<KeyPair> keys { generateKeyPair(), generateKeyPair(), generateKeyPair() };
    ConfigurationChain chain;
    base::Offset offset = 0;

    std::string yaml(std::uint64_t version, const std::string &predecessor, int variant = 0) const
    {
        std::string text = absl::StrCat("version: ", version, "\nsignatures_needed: 2\n");
        if (!predecessor.empty())
            absl::StrAppend(&text, "predecessor: ", predecessor, "\n");
        absl::StrAppend(&text, "usage_window: ", 10 + variant, "s\noperators:\n");
        for (std::size_t i = 0; i < keys.size(); ++i)
            absl::StrAppend(&text, "  - {id: op", i, ", public_key: ", keys[i].publicKey, "}\n");
        return text;
    }

    std::vector<Signature> sign(const std::string &text, const std::vector<std::size_t> &by) const
    {
        std::vector<Signature> signatures;
        for (const std::size_t i : by)
            signatures.push_back(*signText(text, absl::StrCat("op", i), keys[i].secretKey));
        return signatures;
    }

    bool publish(const std::string &text, const std::vector<std::size_t> &by)
    {
        return chain
            .apply(BundlePublished { text, sign(text, by) }, base::InstanceId("tool/1"), ++offset)
            .hasValue();
    }

    bool withdraw(const char *key, const std::string &digest, const std::vector<std::size_t> &by)
    {
        const base::KeyId id(key);
        const std::string text = withdrawalText(id, digest);
        return chain
            .apply(KeyWithdrawn { text, id, sign(text, by) }, base::InstanceId("tool/1"), ++offset)
            .hasValue();
    }
};

BOOST_FIXTURE_TEST_SUITE(ConfigurationTest, ConfigurationFixture)

BOOST_AUTO_TEST_CASE(bundle_twoSuccessors_firstInLogIsAccepted)
{
    BOOST_TEST(publish(yaml(1, ""), { 0, 1 }));
    const std::string first = chain.digest();
    BOOST_TEST(publish(yaml(2, first, 1), { 0, 2 }));
    BOOST_TEST(!publish(yaml(2, first, 2), { 0, 1 }));
    BOOST_TEST(chain.bundle()->usageWindowSeconds == 11u);
    BOOST_REQUIRE(chain.rejections().size() == 1);
    BOOST_TEST(chain.rejections()[0].reason.find(chain.digest()) != std::string::npos);
}

BOOST_AUTO_TEST_CASE(bundle_badSignaturesOrVersion_isRejected)
{
    BOOST_TEST(!publish(yaml(1, ""), { 0 }));
    BOOST_TEST(publish(yaml(1, ""), { 0, 1 }));
    const std::string first = chain.digest();
    BOOST_TEST(!publish(yaml(2, first), { 1 }));
    BOOST_TEST(!publish(yaml(2, first), { 1, 1 }));
    BOOST_TEST(!publish(yaml(3, first), { 0, 1 }));
    BOOST_TEST(!publish(yaml(1, ""), { 0, 1 }));
    BOOST_TEST(chain.version() == 1u);
}

BOOST_AUTO_TEST_CASE(withdrawnKey_afterLaterBundles_staysWithdrawn)
{
    BOOST_TEST(publish(yaml(1, ""), { 0, 1 }));
    BOOST_TEST(!withdraw("k1", chain.digest(), { 0 }));
    BOOST_TEST(!withdraw("k1", "other", { 0, 1 }));
    BOOST_TEST(withdraw("k1", chain.digest(), { 0, 1 }));
    BOOST_TEST(publish(yaml(2, chain.digest()), { 0, 1 }));
    BOOST_TEST(chain.isWithdrawn(base::KeyId("k1")));
}

BOOST_AUTO_TEST_CASE(chain_anyRaceOfOperators_neverForksOrReverts)
{
    // In each step an operator publishes a successor of a version that may be outdated by then.
    const bool passed = rc::check([this](const std::vector<std::uint8_t> &steps) {
        chain = ConfigurationChain();
        std::vector<std::pair<std::uint64_t, std::string>> history { { 0, "" } };
        int variant = 0;
        for (const std::uint8_t step : steps) {
            const std::size_t age = std::min<std::size_t>(step % 4, history.size() - 1);
            const auto [version, digest] = history[history.size() - 1 - age];
            const std::string text = yaml(version + 1, digest, ++variant % 1000);
            const bool accepted = publish(text,
                                          step % 5 == 0 ? std::vector<std::size_t> { 1 }
                                                        : std::vector<std::size_t> { 0, 2 });
            RC_ASSERT(accepted == (age == 0 && step % 5 != 0));
            if (accepted)
                history.emplace_back(chain.version(), chain.digest());
            RC_ASSERT(chain.version() == history.back().first);
            RC_ASSERT(chain.digest() == history.back().second);
            RC_ASSERT(chain.version() + 1 == history.size());
        }
    });
    BOOST_TEST(passed);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
