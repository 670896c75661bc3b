#include <boost/test/unit_test.hpp>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include "platform/config_codec.h"
#include "platform/job_codec.h"
#include "platform/node_settings_codec.h"
#include "platform/runner_codec.h"
#include "src/node/job_record_codec.h"
#include "src/node/member_table.h"
#include "src/node/term_record.h"
#include "src/sched/progress_codec.h"

// Decoders of messages and records from other processes. A malformed text must
// neither throw nor crash: one such text would otherwise end a whole process.

namespace radishwing::platform {
namespace {

constexpr int kTextsPerDecoder = 3000;
constexpr std::uint64_t kSeed = 20261204;

struct decoder_case {
  std::string valid;  ///< A valid text, which the test changes.
  std::function<void(const std::string&)> decode;
};

/// Makes random changes to valid texts. The same seed gives the same texts.
class text_mutator {
 public:
  std::string Mutate(std::string text) {
    const auto changes = 1 + random_() % 4;
    for (std::uint64_t i = 0; i < changes && !text.empty(); ++i) {
      const std::size_t at = random_() % text.size();
      switch (random_() % 5) {
        case 0:
          text[at] = static_cast<char>(random_() % 256);
          break;
        case 1:
          text.erase(at, 1 + random_() % 8);
          break;
        case 2:
          text.resize(at);
          break;
        case 3:
          text.insert(at, Fragment());
          break;
        default:
          ReplaceNumber(text, at);
          break;
      }
    }
    return text;
  }

 private:
  std::string Fragment() {
    static const std::vector<std::string> kFragments = {
        "null", "-1",      "1e308", "99999999999999999999",
        "[]",   "{}",      "\"\"",  "[[[",
        "true", "\\ud800", "\0"};
    return kFragments[random_() % kFragments.size()];
  }

  /// Replaces the next digit after `at` by a fragment.
  void ReplaceNumber(std::string& text, std::size_t at) {
    const std::size_t digit = text.find_first_of("0123456789", at);
    if (digit != std::string::npos) text.replace(digit, 1, Fragment());
  }

  std::mt19937_64 random_{kSeed};
};

std::vector<decoder_case> Decoders() {
  const std::string job =
      R"({"spec":"s","steps":[{"count":4,"cpu":500,"estimate-ms":900},)"
      R"({"count":2,"after":[0],"may-miss":1}],"repetitions":2,"first-ms":5})";
  return {
      {job, [](const std::string& text) { DecodeJob(text); }},
      {R"({"backend":"p","address":"1.2.3.4:5","state":"ready","zone":"z",)"
       R"("free-resources":{"cpu":4000},"labels":["a","r"],"born":7})",
       [](const std::string& text) { DecodeRunnerRecord("w", text); }},
      {R"({"clock-ms":482113,"born":7,"running":)"
       R"([["5c0e7a21d94b36f8.0.1.17",2,"c",41,3.5]],)"
       R"("ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})",
       [](const std::string& text) { DecodeRunnerListing(text); }},
      {R"({"reason":"fence","clock-ms":5})",
       [](const std::string& text) { DecodeOrderOutcome(409, text); }},
      {R"({"version":3,"routes":[{"name":"q","host":"h","prefix":"/q/",)"
       R"("backend":"p","attempts":2,"stretch":1.5}],"services":)"
       R"([{"name":"p","standby":true}],"tenants":[{"name":"t",)"
       R"("api-keys":["k"],"cap":{"cpu":5}}]})",
       [](const std::string& text) { DecodeConfig(text); }},
      {R"({"wave":3,"machines":["a","b"],"duration-s":20,"cap":2})",
       [](const std::string& text) { DecodeWaveRequest(text); }},
      {R"({"node":"n","ip":"1.2.3.4","zone":"z","port-range":[7000,7015],)"
       R"("bind":{"front":"1.2.3.4:1"},"platform":{"address":"1.2.3.4:2"}})",
       [](const std::string& text) { DecodeNodeSettings("f", text); }},
      {node::EncodeJobRecord({.id = "5c0e7a21d94b36f8", .body = job}, 9),
       [](const std::string& text) {
         node::DecodeJobRecord("5c0e7a21d94b36f8", text);
       }},
      {node::EncodeTerm({7, "n1", true, 1234}),
       [](const std::string& text) { node::DecodeTerm(text); }},
      {node::EncodeMember({"n1", "1.2.3.4:5", 6, 500}),
       [](const std::string& text) {
         node::member_table members;
         members.Apply({"rw/n/node/n1", text, 4, 0});
         members.Apply({"rw/n/shard/0", text, 5, 0});
       }},
      {R"({"state":"running","created":1,"data_centres":["dc"],)"
       R"("repetitions":[{"number":0,"done":false,"steps":)"
       R"([{"done":"1000","tasks":[[1,[2],"c"]]}]}]})",
       [job](const std::string& text) {
         sched::job_state state;
         state.record.request = Value(DecodeJob(job));
         sched::DecodeProgress(text, state);
         sched::DecodePhase(text);
       }},
  };
}

BOOST_AUTO_TEST_SUITE(decoder_fuzz)

BOOST_AUTO_TEST_CASE(malformed_text_does_not_throw) {
  text_mutator mutator;
  for (const decoder_case& tested : Decoders()) {
    BOOST_CHECK_NO_THROW(tested.decode(tested.valid));
    for (int i = 0; i < kTextsPerDecoder; ++i) {
      const std::string text = mutator.Mutate(tested.valid);
      BOOST_CHECK_NO_THROW(tested.decode(text));
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace radishwing::platform
