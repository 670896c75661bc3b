#include "src/node/term_record.h"

#include <algorithm>
#include <boost/json.hpp>

#include "src/base/json_fields.h"

namespace radishwing::node {

namespace {

// Tolerance for steps of the wall clock since `recorded_unix_ms`.
constexpr millis kMaxClockStepMs = 2500;

}  // namespace

millis term_record::MovePause(std::string_view self, millis unix_now,
                              millis pause_ms) const {
  if (term == 0) return 0;
  if (node == self &&
      unix_now - recorded_unix_ms > pause_ms + kMaxClockStepMs) {
    return 0;
  }
  return std::max<millis>(0, pause_ms - (resigned ? host_order_age_ms : 0));
}

millis term_record::RemainingLease(millis unix_now) const {
  const millis certainly_elapsed =
      std::max<millis>(0, unix_now - recorded_unix_ms - kMaxClockStepMs);
  return std::max<millis>(0, unended_lease_ms - certainly_elapsed);
}

std::string EncodeTerm(const term_record& record) {
  return boost::json::serialize(
      boost::json::object{{"term", record.term},
                          {"node", record.node},
                          {"resigned", record.resigned},
                          {"host_order_age_ms", record.host_order_age_ms},
                          {"began_unix_ms", record.recorded_unix_ms},
                          {"unended_lease_ms", record.unended_lease_ms}});
}

term_record DecodeTerm(std::string_view text) {
  auto parsed = json_fields::Parse("term", text);
  if (!Ok(parsed)) return {};
  json_fields& fields = Value(parsed);
  term_record record;
  record.term = static_cast<int>(fields.Signed("term"));
  record.node = fields.String("node");
  record.resigned = fields.Bool("resigned");
  record.host_order_age_ms = fields.Signed("host_order_age_ms");
  record.recorded_unix_ms = fields.Signed("began_unix_ms");
  if (!fields.Valid()) return {};
  // Earlier versions of the program do not write this field.
  record.unended_lease_ms = fields.Signed("unended_lease_ms");
  return record;
}

}  // namespace radishwing::node
