#include "src/ctl/json_field.h"

namespace radishwing::ctl {

const boost::json::value* FindField(const boost::json::value& value,
                                    std::string_view name) {
  const boost::json::object* object = value.if_object();
  return object ? object->if_contains({name.data(), name.size()}) : nullptr;
}

std::string StringField(const boost::json::value& value,
                        std::string_view name) {
  const boost::json::value* field = FindField(value, name);
  if (!field || !field->is_string()) return "";
  return std::string(field->get_string());
}

std::uint64_t UnsignedField(const boost::json::value& value,
                            std::string_view name) {
  const boost::json::value* field = FindField(value, name);
  if (!field || !field->is_number()) return 0;
  boost::json::error_code error;
  const auto number = field->to_number<std::uint64_t>(error);
  return error ? 0 : number;
}

boost::json::array ArrayField(const boost::json::value& value,
                              std::string_view name) {
  const boost::json::value* field = FindField(value, name);
  return field && field->is_array() ? field->get_array() : boost::json::array();
}

}  // namespace radishwing::ctl
