#define BOOST_TEST_MODULE radishwing
#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>
