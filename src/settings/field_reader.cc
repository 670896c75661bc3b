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

// Splits the default of a list, such as `["interactive", "long"]`.
std::vector<std::string> ParseTexts(std::string_view text) {
  std::vector<std::string> texts;
  for (std::size_t open = text.find('"'); open != std::string_view::npos;) {
    const std::size_t close = text.find('"', open + 1);
    texts.emplace_back(text.substr(open + 1, close - open - 1));
    open = text.find('"', close + 1);
  }
  return texts;
}

}  // namespace

const node* field_reader::Find(std::string_view name) const {
  const node_member* member = branch_ ? branch_->Find(name) : nullptr;
  return member ? &member->value : nullptr;
}

std::string_view field_reader::Default(std::string_view name) const {
  const field_schema* field = FindField(schema_, pattern_, name);
  return field ? field->default_value : std::string_view();
}

std::string field_reader::Text(std::string_view name) const {
  const node* value = Find(name);
  if (value && value->kind == node_kind::kText) return value->text;
  const std::vector<std::string> texts = ParseTexts(Default(name));
  return texts.empty() ? "" : texts.front();
}

bool field_reader::Flag(std::string_view name) const {
  const node* value = Find(name);
  if (value && value->kind == node_kind::kFlag) return value->flag;
  return Default(name) == "true";
}

std::int64_t field_reader::Count(std::string_view name) const {
  const node* value = Find(name);
  if (value && value->kind == node_kind::kInteger) return value->integer;
  return ParseNumber<std::int64_t>(Default(name));
}

double field_reader::Number(std::string_view name) const {
  const node* value = Find(name);
  if (value &&
      (value->kind == node_kind::kInteger || value->kind == node_kind::kReal)) {
    return value->real;
  }
  return ParseNumber<double>(Default(name));
}

std::vector<std::string> field_reader::Texts(std::string_view name) const {
  const node* value = Find(name);
  if (!value || value->kind != node_kind::kList) {
    return ParseTexts(Default(name));
  }
  std::vector<std::string> texts;
  for (const node& item : value->items) {
    if (item.kind == node_kind::kText) texts.push_back(item.text);
  }
  return texts;
}

}  // namespace radishwing::settings
