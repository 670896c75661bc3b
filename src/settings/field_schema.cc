#include "src/settings/field_schema.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace radishwing::settings {
namespace {

std::string NumberText(double value) {
  std::array<char, 32> buffer;
  auto end = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value,
                           std::chars_format::general);
  if (std::abs(value) < 1e15 && value == std::floor(value)) {
    return std::to_string(static_cast<std::int64_t>(value));
  }
  return std::string(buffer.data(), end.ptr);
}

std::string RangeText(const field_schema& field) {
  if (std::isinf(field.maximum)) {
    return "at least " + NumberText(field.minimum);
  }
  return NumberText(field.minimum) + " to " + NumberText(field.maximum);
}

std::string ChoicesText(std::string_view choices) {
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
                              std::string_view branch, std::string_view name) {
  for (const field_schema& field : schema) {
    if (field.branch == branch && field.name == name) return &field;
  }
  return nullptr;
}

std::string DescribeAllowed(const field_schema& field) {
  switch (field.type) {
    case field_type::kText:
      return "text";
    case field_type::kName:
      return "1 to 64 characters of A-Z a-z 0-9 . _ -";
    case field_type::kHash:
      return "64 lower-case hexadecimal digits";
    case field_type::kAddress:
      return "\"ip:port\" with a numeric IP address";
    case field_type::kPath:
      return "path of a file";
    case field_type::kFlag:
      return "true or false";
    case field_type::kCount:
      return "whole number, " + RangeText(field);
    case field_type::kNumber:
      return "number, " + RangeText(field);
    case field_type::kChoice:
      return "one of " + ChoicesText(field.choices);
    case field_type::kNames:
      if (field.minimum > 0) return "list of at least one name, none repeated";
      return "list of names, none repeated";
    case field_type::kChoices:
      return "list of " + ChoicesText(field.choices) + ", none repeated";
    case field_type::kAddresses:
      return "list of \"ip:port\", none repeated";
    case field_type::kBranch:
      return "branch in { }";
    case field_type::kNamed:
      return "branches by name in { }";
    case field_type::kItems:
      return "list of branches in [ ]";
  }
  return "";
}

bool IsName(std::string_view name) {
  return !name.empty() && name.size() <= 64 &&
         std::all_of(name.begin(), name.end(), [](char c) {
           return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                  (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
         });
}

}  // namespace radishwing::settings
