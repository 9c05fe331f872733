#define BOOST_TEST_MODULE rattancart
#include <boost/test/unit_test.hpp>
