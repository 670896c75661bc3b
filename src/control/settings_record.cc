#include "src/control/settings_record.h"

#include <boost/json.hpp>

namespace radishwing::control {

std::string EncodeSettings(const rpc::settings_text& settings) {
  boost::json::object record{{"revision", settings.revision},
                             {"change_id", settings.change_id},
                             {"author", settings.author},
                             {"text", settings.text}};
  return boost::json::serialize(record);
}

result<rpc::settings_text> DecodeSettings(std::string_view value) {
  boost::system::error_code error;
  boost::json::value parsed = boost::json::parse(value, error);
  const boost::json::object* record = parsed.if_object();
  if (error || record == nullptr) {
    return failure{failure_kind::kInternal, "the record is not a JSON object"};
  }
  rpc::settings_text settings;
  auto text = [&](const char* name) -> std::string {
    const boost::json::value* field = record->if_contains(name);
    if (field == nullptr || !field->is_string()) return "";
    return std::string(field->get_string());
  };
  const boost::json::value* revision = record->if_contains("revision");
  if (revision == nullptr || !revision->is_number()) {
    return failure{failure_kind::kInternal, "the record has no revision"};
  }
  settings.revision = revision->to_number<std::uint64_t>(error);
  if (error || settings.revision == 0) {
    return failure{failure_kind::kInternal, "the revision is out of range"};
  }
  settings.text = text("text");
  settings.change_id = text("change_id");
  settings.author = text("author");
  return settings;
}

}  // namespace radishwing::control
