#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "platform/runner_codec.h"

namespace radishwing::platform {
namespace {

/// A valid entry of a runner, of which tests replace parts.
struct runner_record_fixture {
  /// Returns the entry with `part` replaced by `replacement`.
  std::string With(const std::string& part,
                   const std::string& replacement) const {
    std::string text = entry;
    return text.replace(text.find(part), part.size(), replacement);
  }

  std::string entry =
      R"({"backend":"p","address":"10.0.0.9:8080","zone":"z","version":"v1",)"
      R"("capacity":8,"state":"ready","cold-ms":0,"free-resources":)"
      R"({"cpu":16000,"mem-mb":32768,"gpu":0},"labels":["a","r1-3"],)"
      R"("clock-ms":482113,"seq":4,"born":1767225600000})";
};

BOOST_FIXTURE_TEST_SUITE(runner_record, runner_record_fixture)

BOOST_AUTO_TEST_CASE(valid_entry_is_accepted) {
  BOOST_TEST(DecodeRunnerRecord("r", entry).has_value());
}

BOOST_AUTO_TEST_CASE(entry_with_an_invalid_address_is_rejected) {
  for (const char* address :
       {"10.0.0.9:70000", "10.0.0.9:0", "10.0.0.9:-1", "10.0.0.9:", "10.0.0.9",
        "10.0.0.9:99999999999999999999", ":8080", "host:8080"}) {
    BOOST_TEST(
        !DecodeRunnerRecord("r", With("10.0.0.9:8080", address)).has_value(),
        address);
  }
}

BOOST_AUTO_TEST_CASE(entry_with_a_number_out_of_range_is_rejected) {
  for (const char* number : {"1e400", "1e300", "99999999999999999999",
                             "9223372036854775807", "-1", "\"16000\"", "[]"}) {
    BOOST_TEST(!DecodeRunnerRecord("r", With("16000", number)).has_value(),
               number);
    BOOST_TEST(!DecodeRunnerRecord("r", With("32768", number)).has_value(),
               number);
    BOOST_TEST(
        !DecodeRunnerRecord("r", With("1767225600000", number)).has_value(),
        number);
  }
}

BOOST_AUTO_TEST_CASE(entry_with_a_field_of_another_type_is_rejected) {
  BOOST_TEST(!DecodeRunnerRecord("r", With("\"z\"", "7")).has_value());
  BOOST_TEST(!DecodeRunnerRecord("r", With("\"p\"", "[]")).has_value());
  BOOST_TEST(!DecodeRunnerRecord("r", With("\"ready\"", "{}")).has_value());
  BOOST_TEST(
      !DecodeRunnerRecord("r", With("[\"a\",\"r1-3\"]", "\"a\"")).has_value());
  BOOST_TEST(!DecodeRunnerRecord("r", With("\"r1-3\"", "3")).has_value());
  BOOST_TEST(!DecodeRunnerRecord(
                  "r", With("{\"cpu\":16000,\"mem-mb\":32768,\"gpu\":0}", "5"))
                  .has_value());
}

BOOST_AUTO_TEST_CASE(deeply_nested_entry_is_rejected) {
  constexpr int kDepth = 100000;
  const std::string nested =
      std::string(kDepth, '[') + std::string(kDepth, ']');
  BOOST_TEST(!DecodeRunnerRecord("r", nested).has_value());
  BOOST_TEST(!DecodeRunnerRecord("r", With("\"v1\"", nested)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace radishwing::platform
