#include "src/node/term_record.h"

#include <boost/json.hpp>

#include "src/base/json_fields.h"

namespace radishwing::node {

std::string EncodeTerm(const term_record& record) {
  return boost::json::serialize(
      boost::json::object{{"term", record.term},
                          {"node", record.node},
                          {"resigned", record.resigned},
                          {"host_order_age_ms", record.host_order_age_ms}});
}

term_record DecodeTerm(std::string_view text) {
  auto parsed = json_fields::Parse("term", text);
  if (!Ok(parsed)) return {};
  json_fields& fields = Value(parsed);
  term_record record;
  record.term = static_cast<int>(fields.Signed("term"));
  record.node = fields.Text("node");
  record.resigned = fields.Flag("resigned");
  record.host_order_age_ms = fields.Signed("host_order_age_ms");
  return fields.Valid() ? record : term_record{};
}

}  // namespace radishwing::node
