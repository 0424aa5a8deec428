#include <cstdlib>

#include <boost/test/unit_test.hpp>

namespace {

/// Sets RapidCheck's default seed; a seed already set in the environment takes precedence.
struct FixedSeed
{
    FixedSeed() { setenv("RC_PARAMS", "seed=20261204", 0); }
};

BOOST_TEST_GLOBAL_FIXTURE(FixedSeed);

} // namespace
