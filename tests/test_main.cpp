#define BOOST_TEST_MODULE zinniadoor
#include <boost/test/unit_test.hpp>
