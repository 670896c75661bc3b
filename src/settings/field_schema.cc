#include "src/settings/field_schema.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace radishwing::settings {
namespace {

std::string FormatNumber(double value) {
  std::array<char, 32> buffer;
  auto end = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value,
                           std::chars_format::general);
  if (std::abs(value) < 1e15 && value == std::floor(value)) {
    return std::to_string(static_cast<std::int64_t>(value));
  }
  return std::string(buffer.data(), end.ptr);
}

std::string FormatRange(const field_schema& field) {
  if (std::isinf(field.maximum)) {
    return "at least " + FormatNumber(field.minimum);
  }
  return FormatNumber(field.minimum) + " to " + FormatNumber(field.maximum);
}

std::string FormatChoices(std::string_view choices) {
  std::string text;
  while (!choices.empty()) {
    const std::size_t bar = std::min(choices.find('|'), choices.size());
    if (!text.empty()) text += ", ";
    text.append("\"").append(choices.substr(0, bar)).append("\"");
    choices.remove_prefix(std::min(bar + 1, choices.size()));
  }
  return text;
}

}  // namespace

const field_schema* FindField(std::span<const field_schema> schema,
                              std::string_view parent, std::string_view name) {
  for (const field_schema& field : schema) {
    if (field.parent == parent && field.name == name) return &field;
  }
  return nullptr;
}

std::string DescribeAllowedValues(const field_schema& field) {
  switch (field.type) {
    case field_type::kString:
      return "string";
    case field_type::kName:
      return "1 to 64 characters of A-Z a-z 0-9 . _ -";
    case field_type::kSha256:
      return "64 lower-case hexadecimal digits";
    case field_type::kAddress:
      return "\"ip:port\" with a numeric IP address";
    case field_type::kPath:
      return "file path";
    case field_type::kBool:
      return "true or false";
    case field_type::kInt:
      return "integer, " + FormatRange(field);
    case field_type::kNumber:
      return "number, " + FormatRange(field);
    case field_type::kChoice:
      return "one of " + FormatChoices(field.choices);
    case field_type::kNameList:
      if (field.minimum > 0) return "non-empty array of unique names";
      return "array of unique names";
    case field_type::kChoiceList:
      return "array of " + FormatChoices(field.choices) +
             ", without duplicates";
    case field_type::kAddressList:
      return "array of unique \"ip:port\" strings";
    case field_type::kObject:
      return "object";
    case field_type::kObjectMap:
      return "object of named objects";
    case field_type::kObjectList:
      return "array of objects";
  }
  return "";
}

bool IsValidName(std::string_view name) {
  return !name.empty() && name.size() <= 64 &&
         std::all_of(name.begin(), name.end(), [](char c) {
           return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                  (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
         });
}

}  // namespace radishwing::settings
