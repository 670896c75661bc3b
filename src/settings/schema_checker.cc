#include "src/settings/schema_checker.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <map>
#include <set>

#include "src/settings/finding_order.h"
#include "src/settings/nearest_name.h"

namespace radishwing::settings {
namespace {

// Maximum length of a value or name quoted in a finding.
constexpr std::size_t kMaxQuotedBytes = 64;

bool IsSha256(std::string_view text) {
  return text.size() == 64 &&
         text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

std::vector<std::string> SplitChoices(std::string_view choices) {
  std::vector<std::string> parts;
  while (!choices.empty()) {
    const std::size_t bar = std::min(choices.find('|'), choices.size());
    parts.emplace_back(choices.substr(0, bar));
    choices.remove_prefix(std::min(bar + 1, choices.size()));
  }
  return parts;
}

json_kind ExpectedKind(field_type type) {
  switch (type) {
    case field_type::kBool:
      return json_kind::kBool;
    case field_type::kInt:
      return json_kind::kInteger;
    case field_type::kNumber:
      return json_kind::kDouble;
    case field_type::kNameList:
    case field_type::kChoiceList:
    case field_type::kAddressList:
    case field_type::kObjectList:
      return json_kind::kArray;
    case field_type::kObject:
    case field_type::kObjectMap:
      return json_kind::kObject;
    default:
      return json_kind::kString;
  }
}

bool IsValidString(std::string_view text, const field_schema& field) {
  switch (field.type) {
    case field_type::kName:
    case field_type::kNameList:
      return IsValidName(text);
    case field_type::kSha256:
      return IsSha256(text);
    case field_type::kAddress:
    case field_type::kAddressList:
      return IsValidAddress(text);
    case field_type::kPath:
      return !text.empty();
    case field_type::kChoice:
    case field_type::kChoiceList: {
      const std::vector<std::string> choices = SplitChoices(field.choices);
      return std::find(choices.begin(), choices.end(), text) != choices.end();
    }
    default:
      return true;
  }
}

// Returns `allowed`, followed by a suggestion if FindNearestName() finds one.
// The suggestion is the name in `known` that is nearest to `text`.
std::string AppendSuggestion(std::string allowed, std::string_view text,
                             std::span<const std::string> known) {
  const std::string nearest = FindNearestName(text, known);
  if (!nearest.empty()) allowed += " (did you mean \"" + nearest + "\"?)";
  return allowed;
}

}  // namespace

bool IsValidAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return false;
  std::string_view host = text.substr(0, colon);
  const std::string_view port = text.substr(colon + 1);
  if (host.size() > 1 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  unsigned number = 0;
  auto end = std::from_chars(port.data(), port.data() + port.size(), number);
  if (end.ec != std::errc() || end.ptr != port.data() + port.size()) {
    return false;
  }
  boost::system::error_code error;
  boost::asio::ip::make_address(std::string(host), error);
  return !error && number <= 65535;
}

std::string DescribeValue(const json_document& document,
                          const json_value& value, const field_schema& field) {
  if (value.kind == json_kind::kArray) return "array";
  if (value.kind == json_kind::kObject) return "object";
  const std::size_t length = value.range.end - value.range.begin;
  if (!field.quote_in_findings)
    return "value of " + std::to_string(length) + " bytes";
  std::string found = document.text.substr(value.range.begin,
                                           std::min(length, kMaxQuotedBytes));
  if (length > kMaxQuotedBytes) found += "...";
  return found;
}

std::vector<finding> schema_checker::CollectFindings() {
  if (document_.root.kind != json_kind::kObject) {
    findings_.push_back(document_.MakeFindingAt(
        document_.root.range.begin, "",
        DescribeValue(document_, document_.root,
                      field_schema{.quote_in_findings = false}),
        "object"));
  } else {
    CheckObject(document_.root, "", "");
  }
  SortFindings(findings_);
  return std::move(findings_);
}

void schema_checker::CheckObject(const json_value& object,
                                 std::string_view path_pattern,
                                 const std::string& path) {
  CheckUniqueNames(object, path);
  CheckRequiredFields(object, path_pattern, path);
  for (const json_member& member : object.members) {
    const field_schema* field = FindField(schema_, path_pattern, member.name);
    if (field == nullptr) {
      ReportUnknownName(member, path_pattern, path);
    } else {
      CheckField(member.value, *field, JoinPath(path, member.name));
    }
  }
}

void schema_checker::CheckUniqueNames(const json_value& object,
                                      const std::string& path) {
  std::map<std::string_view, const json_member*> first;
  for (const json_member& member : object.members) {
    const auto [entry, added] = first.emplace(member.name, &member);
    if (added) continue;
    const text_position position = document_.lines.PositionOf(
        document_.text, entry->second->name_range.begin);
    findings_.push_back(document_.MakeFindingAt(
        member.name_range.begin, JoinPath(path, member.name), "repeated name",
        "one definition; the first is at " + std::to_string(position.line) +
            ":" + std::to_string(position.column)));
  }
}

void schema_checker::CheckRequiredFields(const json_value& object,
                                         std::string_view path_pattern,
                                         const std::string& path) {
  for (const field_schema& field : schema_) {
    if (field.parent != path_pattern || !field.required) continue;
    if (object.Find(field.name) != nullptr) continue;
    findings_.push_back(
        document_.MakeFindingAt(object.range.begin, JoinPath(path, field.name),
                                "missing name", DescribeAllowedValues(field)));
  }
}

void schema_checker::CheckObjectMap(const json_value& object,
                                    std::string_view path_pattern,
                                    const std::string& path) {
  CheckUniqueNames(object, path);
  const field_schema name_field{.type = field_type::kName};
  for (const json_member& member : object.members) {
    const std::string member_path = JoinPath(path, member.name);
    if (!IsValidName(member.name)) {
      findings_.push_back(document_.MakeFindingAt(
          member.name_range.begin, path,
          "name \"" + member.name.substr(0, kMaxQuotedBytes) + "\"",
          DescribeAllowedValues(name_field)));
    }
    if (member.value.kind != json_kind::kObject) {
      ReportInvalidValue(
          member.value, field_schema{.type = field_type::kObject}, member_path);
    } else {
      CheckObject(member.value, path_pattern, member_path);
    }
  }
}

void schema_checker::CheckField(const json_value& value,
                                const field_schema& field,
                                const std::string& path) {
  const std::string path_pattern = JoinPath(field.parent, field.name);
  const json_kind expected = ExpectedKind(field.type);
  if (expected == json_kind::kInteger || expected == json_kind::kDouble) {
    return CheckNumber(value, field, path);
  }
  if (value.kind != expected) return ReportInvalidValue(value, field, path);
  if (expected == json_kind::kString) return CheckString(value, field, path);
  if (expected == json_kind::kArray) return CheckArray(value, field, path);
  if (field.type == field_type::kObject) {
    return CheckObject(value, path_pattern, path);
  }
  if (field.type == field_type::kObjectMap)
    CheckObjectMap(value, path_pattern + ".*", path);
}

void schema_checker::CheckNumber(const json_value& value,
                                 const field_schema& field,
                                 const std::string& path) {
  const bool whole = value.kind == json_kind::kInteger;
  const bool fits = field.type == field_type::kInt
                        ? whole
                        : whole || value.kind == json_kind::kDouble;
  if (!fits || value.number_value < field.minimum ||
      value.number_value > field.maximum) {
    ReportInvalidValue(value, field, path);
  }
}

void schema_checker::CheckString(const json_value& value,
                                 const field_schema& field,
                                 const std::string& path) {
  if (!IsValidString(value.string_value, field))
    ReportInvalidValue(value, field, path);
}

void schema_checker::CheckArray(const json_value& value,
                                const field_schema& field,
                                const std::string& path) {
  const std::string path_pattern = JoinPath(field.parent, field.name) + "[]";
  if (static_cast<double>(value.elements.size()) < field.minimum) {
    findings_.push_back(document_.MakeFindingAt(
        value.range.begin, path, "empty array",
        "at least one name; omit the field to allow all"));
  }
  std::set<std::string_view> seen;
  for (std::size_t i = 0; i < value.elements.size(); ++i) {
    const json_value& item = value.elements[i];
    const std::string item_path = path + "[" + std::to_string(i) + "]";
    if (field.type == field_type::kObjectList) {
      if (item.kind == json_kind::kObject) {
        CheckObject(item, path_pattern, item_path);
      } else {
        ReportInvalidValue(item, field_schema{.type = field_type::kObject},
                           item_path);
      }
    } else if (item.kind != json_kind::kString ||
               !IsValidString(item.string_value, field)) {
      ReportInvalidValue(item, field, item_path);
    } else if (!seen.insert(item.string_value).second) {
      findings_.push_back(document_.MakeFindingAt(
          item.range.begin, item_path,
          "repeated " + DescribeValue(document_, item, field),
          DescribeAllowedValues(field)));
    }
  }
}

void schema_checker::ReportUnknownName(const json_member& member,
                                       std::string_view path_pattern,
                                       const std::string& path) {
  std::vector<std::string> known;
  std::string allowed;
  for (const field_schema& field : schema_) {
    if (field.parent != path_pattern) continue;
    known.emplace_back(field.name);
    if (!allowed.empty()) allowed += ", ";
    allowed += field.name;
  }
  const std::string name = member.name.substr(0, kMaxQuotedBytes);
  findings_.push_back(document_.MakeFindingAt(
      member.name_range.begin, JoinPath(path, name), "unknown name",
      AppendSuggestion(std::move(allowed), member.name, known)));
}

void schema_checker::ReportInvalidValue(const json_value& value,
                                        const field_schema& field,
                                        const std::string& path) {
  const std::string found = DescribeValue(document_, value, field);
  std::string allowed = DescribeAllowedValues(field);
  if (value.kind == json_kind::kString) {
    allowed = AppendSuggestion(std::move(allowed), value.string_value,
                               SplitChoices(field.choices));
  }
  findings_.push_back(document_.MakeFindingAt(value.range.begin, path,
                                              "found " + found, allowed));
}

}  // namespace radishwing::settings
