#define BOOST_TEST_MODULE lycheewall
#include <boost/test/unit_test.hpp>
