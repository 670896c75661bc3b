#include "src/settings/finding_json.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <string_view>

namespace radishwing::settings {
namespace {

std::string Text(const boost::json::object& object, std::string_view name) {
  const boost::json::value* value =
      object.if_contains({name.data(), name.size()});
  if (!value || !value->is_string()) return "";
  return std::string(value->get_string());
}

int Number(const boost::json::object& object, std::string_view name) {
  const boost::json::value* value =
      object.if_contains({name.data(), name.size()});
  if (!value || !value->is_int64()) return 0;
  return static_cast<int>(value->get_int64());
}

}  // namespace

boost::json::value FindingsToJson(const std::vector<finding>& findings) {
  boost::json::array list;
  for (const finding& f : findings) {
    list.push_back({{"file", f.file},
                    {"line", f.line},
                    {"column", f.column},
                    {"path", f.path},
                    {"found", f.found},
                    {"allowed", f.allowed}});
  }
  return list;
}

std::vector<finding> FindingsFromJson(const boost::json::value& list) {
  std::vector<finding> findings;
  if (!list.is_array()) return findings;
  for (const boost::json::value& item : list.get_array()) {
    const boost::json::object* object = item.if_object();
    if (!object) continue;
    findings.push_back(finding{Text(*object, "file"), Number(*object, "line"),
                               Number(*object, "column"), Text(*object, "path"),
                               Text(*object, "found"),
                               Text(*object, "allowed")});
  }
  return findings;
}

}  // namespace radishwing::settings
