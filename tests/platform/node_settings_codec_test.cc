#include "platform/node_settings_codec.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace radishwing::platform {
namespace {

struct node_settings_codec_fixture {
  /// Decodes settings that contain nothing but these bounds.
  static decoded_node_settings Decode(const std::string& bounds) {
    return DecodeNodeSettings("f", R"({"node":"n","port-range":[7000,7015],)"
                                   R"("bind":{"front":"10.0.0.1:1",)"
                                   R"("readiness":"10.0.0.1:2"},)"
                                   R"("platform":{"address":"10.0.0.2:1"},)"
                                   R"("bounds":)" +
                                       bounds + "}");
  }
};

BOOST_FIXTURE_TEST_SUITE(node_settings_codec, node_settings_codec_fixture)

BOOST_AUTO_TEST_CASE(remote_factor_is_decoded_and_1_without_it) {
  const auto decoded = Decode(R"({"remote-factor":1.5})");
  BOOST_TEST(decoded.findings.empty());
  BOOST_TEST(decoded.settings.remote_factor == 1.5);
  BOOST_TEST(Decode("{}").settings.remote_factor == 1);
}

// Guards against a mistyped factor that makes tasks wait for minutes.
BOOST_AUTO_TEST_CASE(remote_factor_out_of_range_is_a_finding) {
  for (const char* value : {"0", "0.5", "-3", "1e9"}) {
    const auto decoded =
        Decode(std::string(R"({"remote-factor":)") + value + "}");
    BOOST_REQUIRE_EQUAL(decoded.findings.size(), 1u);
    BOOST_TEST(decoded.findings[0].path == "bounds.remote-factor");
    BOOST_TEST(decoded.settings.remote_factor == 1);
  }
}

// Guards against records that are longer than the store accepts because the
// length of the longest value is not read.
BOOST_AUTO_TEST_CASE(value_bytes_are_decoded_and_checked) {
  const auto decode = [](const std::string& bytes) {
    return DecodeNodeSettings(
        "f", R"({"node":"n","port-range":[7000,7015],)"
             R"("bind":{"front":"10.0.0.1:1","readiness":"10.0.0.1:2"},)"
             R"("platform":{"address":"10.0.0.2:1","value-bytes":)" +
                 bytes + "}}");
  };
  BOOST_TEST(decode("65536").settings.max_value_bytes == 65536u);
  BOOST_TEST(decode("65536").findings.empty());
  for (const char* bytes : {"0", "-1", "100"}) {
    BOOST_REQUIRE_EQUAL(decode(bytes).findings.size(), 1u);
    BOOST_TEST(decode(bytes).findings[0].path == "platform.value-bytes");
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace radishwing::platform
