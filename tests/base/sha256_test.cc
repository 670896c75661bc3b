#include "src/base/sha256.h"

#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

namespace radishwing {
namespace {

// Test vector from FIPS 180-2, appendix B.1.
BOOST_AUTO_TEST_CASE(sha256_published_vector_matches) {
  BOOST_TEST(
      Sha256Hex("abc") ==
      "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

// Test vector from RFC 4231, case 2.
BOOST_AUTO_TEST_CASE(hmac_sha256_published_vector_matches) {
  BOOST_TEST(
      HmacSha256Hex("Jefe", "what do ya want for nothing?") ==
      "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843");
}

BOOST_AUTO_TEST_CASE(equal_constant_time_prefix_is_not_equal) {
  BOOST_TEST(!EqualConstantTime("abc", "abcd"));
  BOOST_TEST(EqualConstantTime("abcd", "abcd"));
}

}  // namespace
}  // namespace radishwing
