#include "src/settings/json_document.h"

#define BOOST_TEST_DYN_LINK
#include <boost/test/unit_test.hpp>

namespace radishwing::settings {
namespace {

struct fixture {
  json_document Parse(std::string_view text) {
    parse_result<json_document> parsed = ParseJsonDocument("a.json", text);
    BOOST_REQUIRE(parsed.index() == 0);
    return std::get<0>(std::move(parsed));
  }
  std::string Source(const json_document& document, text_range range) {
    return document.text.substr(range.begin, range.end - range.begin);
  }
};

BOOST_FIXTURE_TEST_SUITE(json_document_tests, fixture)

// Guards against wrong source ranges after comments and escape sequences. The
// builder's cursor can get out of step with the parser there. Findings would
// then point at the wrong text.
BOOST_AUTO_TEST_CASE(json_document_comments_and_escapes_ranges_are_exact) {
  const json_document document = Parse(
      "// \"x\": {1}, \n{ /*a:,*/ \"n\\\"me\" /* , */ : // c\n"
      " [-1.5e3 /*}*/, true,null , \"a\\u00e9\\\\\" ,{}, []],\n"
      "\"\xc3\xa9\": false, \"big\": 18446744073709551615 } // end");
  const json_member& list = document.root.members.at(0);
  BOOST_TEST(list.name == "n\"me");
  BOOST_TEST(Source(document, list.name_range) == "\"n\\\"me\"");
  const char* const expected[] = {"-1.5e3",           "true", "null",
                                  "\"a\\u00e9\\\\\"", "{}",   "[]"};
  BOOST_REQUIRE(list.value.elements.size() == 6);
  for (std::size_t i = 0; i < 6; ++i) {
    BOOST_TEST(Source(document, list.value.elements[i].range) == expected[i]);
  }
  BOOST_TEST(list.value.elements[3].string_value == "a\xc3\xa9\\");
  const json_member& flag = document.root.members.at(1);
  const text_position position =
      document.lines.PositionOf(document.text, flag.value.range.begin);
  BOOST_TEST(position.line == 4);
  BOOST_TEST(position.column == 6);  // é counts as one character.
  BOOST_TEST(Source(document, document.root.members.at(2).value.range) ==
             "18446744073709551615");
}

// A syntax error must be reported at the line and column where parsing stopped.
BOOST_AUTO_TEST_CASE(json_document_malformed_text_reports_position) {
  struct bad_text {
    std::string text;
    int line;
    int column;
  };
  const bad_text bad_texts[] = {{"{\n  \"a\": 1,\n}", 3, 1},
                                {"{\"a\" 1}", 1, 6},
                                {"{\"a\": 1} x", 1, 10},
                                {"{\"a\": \"b", 1, 9},
                                {"", 1, 1},
                                {std::string(20, '['), 1, 17},
                                {"{\"a\": /* x }", 1, 13}};
  for (const bad_text& bad : bad_texts) {
    const parse_result<json_document> parsed =
        ParseJsonDocument("a.json", bad.text);
    BOOST_REQUIRE_MESSAGE(parsed.index() == 1, bad.text);
    const finding& first = std::get<1>(parsed).front();
    BOOST_TEST_CONTEXT(bad.text << " -> " << FormatFinding(first)) {
      BOOST_TEST(first.line == bad.line);
      BOOST_TEST(first.column == bad.column);
    }
  }
}

BOOST_AUTO_TEST_CASE(json_document_text_above_limit_is_rejected) {
  const std::string text(kMaxTextBytes + 1, ' ');
  BOOST_TEST(ParseJsonDocument("a.json", text).index() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace radishwing::settings
