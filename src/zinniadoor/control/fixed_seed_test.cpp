#include <cstdlib>

#include <boost/test/unit_test.hpp>

namespace {

/// RapidCheck reads its seed from the environment; a seed given from outside goes first.
struct FixedSeed
{
    FixedSeed() { setenv("RC_PARAMS", "seed=20261204", 0); }
};

BOOST_TEST_GLOBAL_FIXTURE(FixedSeed);

} // namespace
