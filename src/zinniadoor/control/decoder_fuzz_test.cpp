#include <random>

#include <boost/test/unit_test.hpp>

#include "simulation_test.hpp"

namespace {

using namespace zinniadoor;
using namespace zinniadoor::control;
using namespace zinniadoor::control::test;

/// Seeded mutations of valid input: changes, deletes or duplicates bytes, or sets numbers to huge
/// values.
struct FuzzFixture
{
    std::mt19937_64 random { 20261204 };

    std::size_t below(std::size_t bound)
    {
        return bound == 0 ? 0 : std::uniform_int_distribution<std::size_t>(0, bound - 1)(random);
    }

    std::string mutate(std::string bytes)
    {
        const std::size_t changes = 1 + below(4);
        for (std::size_t i = 0; i < changes && !bytes.empty(); ++i) {
            const std::size_t at = below(bytes.size());
            switch (below(5)) {
            case 0:
                bytes[at] = static_cast<char>(below(256));
                break;
            case 1:
                bytes.erase(at, 1 + below(16));
                break;
            case 2:
                bytes.insert(at, bytes.substr(below(bytes.size()), 1 + below(16)));
                break;
            case 3:
                bytes.replace(at, 8, std::string(8, '\xff'));
                break;
            default:
                bytes[at] = static_cast<char>(bytes[at] ^ (1 << below(8)));
                break;
            }
        }
        return bytes;
    }
};

BOOST_FIXTURE_TEST_SUITE(DecoderFuzzTest, FuzzFixture)

BOOST_AUTO_TEST_CASE(decoders_mutatedInput_neverCrash)
{
    constexpr int Rounds = 20'000;
    Simulation simulation(3, Faults {}, { "orders/a" });
    for (int i = 0; i < 200; ++i) {
        simulation.tick([](Node &node) {
            node.add(
                UsageCounted { node.self.instance, 1, { { 1, base::OrganisationId("o"), 1, 1 } } });
        });
    }
    const auto &entries = simulation.log.entries();
    const std::string state = encodeState(simulation.nodes.front()->state());
    const std::string yaml = simulatedBundle().yaml;
    State target;
    int decoded = 0;
    for (int i = 0; i < Rounds; ++i) {
        if (const auto frame = decodeFrame(mutate(entries[below(entries.size())]))) {
            // Whatever decodes must also be applied without a crash.
            target.apply(*frame, target.appliedThrough() + 1);
            ++decoded;
        }
        if (i % 10 == 0) {
            if (auto read = decodeState(mutate(state)))
                read->apply(*decodeFrame(entries.back()), read->appliedThrough() + 1);
            decoded += parseBundle(mutate(yaml), "fuzz").hasValue() ? 1 : 0;
        }
    }
    BOOST_TEST(decoded > 0);
    BOOST_TEST(decoded < Rounds);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
