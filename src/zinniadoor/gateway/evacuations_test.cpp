#include <boost/test/unit_test.hpp>

#include "absl/strings/strip.h"

#include "zinniadoor/gateway/evacuations.hpp"

namespace {

using namespace zinniadoor;
using namespace zinniadoor::gateway;

class PrefixDecoder : public RecordDecoder
{
public:
    base::Outcome<KeyedRecord> keyed(const std::string &) const override { return unused(); }
    std::string configurationKey() const override { return "c"; }
    std::optional<base::DataCentreId> evacuatedDataCentre(const std::string &key) const override
    {
        absl::string_view rest = key;
        if (!absl::ConsumePrefix(&rest, "e/"))
            return std::nullopt;
        return base::DataCentreId(std::string(rest));
    }
    base::Outcome<Configuration::Parts> configuration(const std::string &) const override
    {
        return unused();
    }
    base::Outcome<EndpointRecord> endpoint(const std::string &, const std::string &) const override
    {
        return unused();
    }

private:
    static base::Reason unused() { return { base::ReasonCode::Internal, "unused" }; }
};

struct EvacuationsFixture
{
    static NewestRecords newest(StoreEra era, const std::vector<std::string> &keys)
    {
        NewestRecords all;
        all.end.era = era;
        for (const std::string &key : keys)
            all.records.push_back({ key, "{}" });
        return all;
    }
    bool has(const char *dataCentre) const
    {
        return evacuations.dataCentres().contains(base::DataCentreId(dataCentre));
    }

    PrefixDecoder decoder;
    Evacuations evacuations { decoder };
};

BOOST_FIXTURE_TEST_SUITE(EvacuationsTest, EvacuationsFixture)

BOOST_AUTO_TEST_CASE(records_writtenAndDropped_changeSet)
{
    BOOST_TEST(!evacuations.applyNewest(newest(0, { "c" })));
    BOOST_TEST(evacuations.applyRecord({ "e/a", "{}" }));
    BOOST_TEST(!evacuations.applyRecord({ "e/a", "{}" }));
    BOOST_TEST(has("a"));
    BOOST_TEST(!evacuations.applyRecord({ "c", "{}" }));
    BOOST_TEST(evacuations.applyRecord({ "e/a", std::nullopt }));
    BOOST_TEST(!has("a"));
}

BOOST_AUTO_TEST_CASE(snapshot_sameEra_replacesSet)
{
    evacuations.applyNewest(newest(0, { "e/a" }));
    BOOST_TEST(evacuations.applyNewest(newest(0, { "e/b" })));
    BOOST_TEST(!has("a"));
    BOOST_TEST(has("b"));
}

// Guards against calls to an evacuated data centre since a copy of the store lacks its record.
BOOST_AUTO_TEST_CASE(snapshot_restoredStore_keepsEvacuationUntilWrittenOrDropped)
{
    evacuations.applyNewest(newest(0, { "e/a", "e/b" }));
    evacuations.applyNewest(newest(1, { "c" }));
    evacuations.applyNewest(newest(1, { "c" }));
    BOOST_TEST(has("a"));
    evacuations.applyRecord({ "e/a", std::nullopt });
    evacuations.applyRecord({ "e/b", "{}" });
    BOOST_TEST(!has("a"));
    BOOST_TEST(has("b"));
    evacuations.applyNewest(newest(1, { "c" }));
    BOOST_TEST(!has("b"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
