#include "src/settings/field_reader.h"

#include <charconv>

namespace radishwing::settings {
namespace {

template <typename T>
T ParseNumber(std::string_view text) {
  T value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

// Returns the strings in a field's default value, such as `["interactive",
// "long"]` or `"serve"`.
std::vector<std::string> ParseStringList(std::string_view text) {
  std::vector<std::string> strings;
  for (std::size_t open = text.find('"'); open != std::string_view::npos;) {
    const std::size_t close = text.find('"', open + 1);
    strings.emplace_back(text.substr(open + 1, close - open - 1));
    open = text.find('"', close + 1);
  }
  return strings;
}

}  // namespace

const json_value* field_reader::Find(std::string_view name) const {
  const json_member* member = object_ ? object_->Find(name) : nullptr;
  return member ? &member->value : nullptr;
}

std::string_view field_reader::GetDefault(std::string_view name) const {
  const field_schema* field = FindField(schema_, path_pattern_, name);
  return field ? field->default_value : std::string_view();
}

std::string field_reader::GetString(std::string_view name) const {
  const json_value* value = Find(name);
  if (value && value->kind == json_kind::kString) return value->string_value;
  const std::vector<std::string> strings = ParseStringList(GetDefault(name));
  return strings.empty() ? "" : strings.front();
}

bool field_reader::GetBool(std::string_view name) const {
  const json_value* value = Find(name);
  if (value && value->kind == json_kind::kBool) return value->bool_value;
  return GetDefault(name) == "true";
}

std::int64_t field_reader::GetInt(std::string_view name) const {
  const json_value* value = Find(name);
  if (value && value->kind == json_kind::kInteger) return value->integer_value;
  return ParseNumber<std::int64_t>(GetDefault(name));
}

double field_reader::GetDouble(std::string_view name) const {
  const json_value* value = Find(name);
  if (value && (value->kind == json_kind::kInteger ||
                value->kind == json_kind::kDouble)) {
    return value->number_value;
  }
  return ParseNumber<double>(GetDefault(name));
}

std::vector<std::string> field_reader::GetStringList(
    std::string_view name) const {
  const json_value* value = Find(name);
  if (!value || value->kind != json_kind::kArray) {
    return ParseStringList(GetDefault(name));
  }
  std::vector<std::string> strings;
  for (const json_value& item : value->elements) {
    if (item.kind == json_kind::kString) strings.push_back(item.string_value);
  }
  return strings;
}

}  // namespace radishwing::settings
