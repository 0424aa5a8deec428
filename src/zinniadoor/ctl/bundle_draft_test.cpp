#include <boost/test/unit_test.hpp>

#include "absl/strings/str_cat.h"

#include "zinniadoor/ctl/bundle_diff.hpp"
#include "zinniadoor/ctl/bundle_draft.hpp"

namespace {

using namespace zinniadoor;
using namespace zinniadoor::ctl;

struct DraftFixture
{
    const control::KeyPair keys = control::generateKeyPair();
    const std::string yaml = absl::StrCat(
        "version: 1\npredecessor: ''\noperators: [{id: ama, public_key: ", keys.publicKey,
        "}]\norganisations:\n  - {id: otters, rate_per_second: 5, burst: 10, weight: 2}\n");
    base::Outcome<BundleDraft> draft = BundleDraft::parse(yaml, "b.yaml");

    control::Bundle bundle() const { return *control::parseBundle(*draft->yaml(), "b.yaml"); }
};

BOOST_FIXTURE_TEST_SUITE(BundleDraftTest, DraftFixture)

BOOST_AUTO_TEST_CASE(draft_withoutEdits_isUnchanged)
{
    BOOST_REQUIRE(draft.hasValue());
    BOOST_TEST(diffBundles(yaml, *draft->yaml()).empty());
}

BOOST_AUTO_TEST_CASE(parse_invalidBundle_fails)
{
    BOOST_TEST(!BundleDraft::parse("version: 0\n", "b.yaml").hasValue());
}

BOOST_AUTO_TEST_CASE(makeSuccessor_draft_hasVersionAndPredecessor)
{
    const std::string digest = control::bundleDigest(yaml);
    draft->makeSuccessor(digest, 2);
    BOOST_TEST(bundle().version == 2u);
    BOOST_TEST(bundle().predecessor == digest);
}

BOOST_AUTO_TEST_CASE(organisations_addAndSetRate_keepOtherValues)
{
    BOOST_TEST(draft->addOrganisation("herons", { 1.5, 3 }).hasValue());
    BOOST_TEST(draft->setRate("otters", { 7, 14 }).hasValue());
    const control::Bundle edited = bundle();
    BOOST_REQUIRE(edited.organisations.size() == 2u);
    BOOST_TEST(edited.organisations[0].ratePerSecond == 7);
    BOOST_TEST(edited.organisations[0].weight == 2);
    BOOST_TEST(edited.organisations[1].ratePerSecond == 1.5);
}

BOOST_AUTO_TEST_CASE(organisations_duplicateOrUnknown_fail)
{
    BOOST_TEST(!draft->addOrganisation("otters", { 1, 1 }).hasValue());
    BOOST_TEST(!draft->setRate("herons", { 1, 1 }).hasValue());
    BOOST_TEST(!draft->addKey("herons", {}).hasValue());
}

BOOST_AUTO_TEST_CASE(yaml_editOutOfRange_fails)
{
    BOOST_TEST(draft->setRate("otters", { -1, 1 }).hasValue());
    BOOST_TEST(!draft->yaml().hasValue());
}

BOOST_AUTO_TEST_CASE(addKey_toOrganisationWithoutKeys_isStored)
{
    const control::KeyRecord key { base::KeyId("k1"), "salt",
                                   control::keyDigest("salt", "secret") };
    BOOST_TEST(draft->addKey("otters", key).hasValue());
    const control::Bundle edited = bundle();
    BOOST_REQUIRE(edited.organisations[0].keys.size() == 1u);
    BOOST_TEST(edited.organisations[0].keys[0].digest == key.digest);
}

BOOST_AUTO_TEST_CASE(diff_addedRemovedChanged_areListedById)
{
    const std::vector<BundleChange> changes
        = diffBundles("a: [{id: x, n: 1}, {id: y, n: 2}]", "a: [{id: y, n: 3}, {id: z, n: 4}]");
    std::vector<std::string> actual;
    for (const BundleChange &change : changes)
        actual.push_back(absl::StrCat(change.kind, " ", change.where));
    const std::vector<std::string> expected { "removed a/x/id", "removed a/x/n", "changed a/y/n",
                                              "added a/z/id", "added a/z/n" };
    BOOST_TEST(actual == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
