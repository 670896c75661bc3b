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

constexpr std::size_t kLongestQuoted = 64;

bool IsHash(std::string_view text) {
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

node_kind ExpectedKind(field_type type) {
  switch (type) {
    case field_type::kFlag:
      return node_kind::kFlag;
    case field_type::kCount:
      return node_kind::kInteger;
    case field_type::kNumber:
      return node_kind::kReal;
    case field_type::kNames:
    case field_type::kChoices:
    case field_type::kAddresses:
    case field_type::kItems:
      return node_kind::kList;
    case field_type::kBranch:
    case field_type::kNamed:
      return node_kind::kBranch;
    default:
      return node_kind::kText;
  }
}

bool TextFits(std::string_view text, const field_schema& field) {
  switch (field.type) {
    case field_type::kName:
    case field_type::kNames:
      return IsName(text);
    case field_type::kHash:
      return IsHash(text);
    case field_type::kAddress:
    case field_type::kAddresses:
      return IsAddress(text);
    case field_type::kPath:
      return !text.empty();
    case field_type::kChoice:
    case field_type::kChoices: {
      const std::vector<std::string> choices = SplitChoices(field.choices);
      return std::find(choices.begin(), choices.end(), text) != choices.end();
    }
    default:
      return true;
  }
}

std::string WithSuggestion(std::string allowed, std::string_view text,
                           std::span<const std::string> known) {
  const std::string nearest = NearestName(text, known);
  if (!nearest.empty()) allowed += " (did you mean \"" + nearest + "\"?)";
  return allowed;
}

}  // namespace

bool IsAddress(std::string_view text) {
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

std::string DescribeFound(const source_tree& tree, const node& value,
                          const field_schema& field) {
  if (value.kind == node_kind::kList) return "list";
  if (value.kind == node_kind::kBranch) return "branch";
  const std::size_t length = value.range.end - value.range.begin;
  if (!field.quoted) return "value of " + std::to_string(length) + " bytes";
  std::string found =
      tree.text.substr(value.range.begin, std::min(length, kLongestQuoted));
  if (length > kLongestQuoted) found += "...";
  return found;
}

std::vector<finding> schema_checker::Check() {
  if (tree_.root.kind != node_kind::kBranch) {
    findings_.push_back(tree_.FindingAt(
        tree_.root.range.begin, "",
        DescribeFound(tree_, tree_.root, field_schema{.quoted = false}),
        "branch in { }"));
  } else {
    CheckBranch(tree_.root, "", "");
  }
  SortFindings(findings_);
  return std::move(findings_);
}

void schema_checker::CheckBranch(const node& branch, std::string_view pattern,
                                 const std::string& path) {
  CheckNames(branch, path);
  CheckRequired(branch, pattern, path);
  for (const node_member& member : branch.members) {
    const field_schema* field = FindField(schema_, pattern, member.name);
    if (field == nullptr) {
      ReportUnknown(member, pattern, path);
    } else {
      CheckField(member.value, *field, JoinPath(path, member.name));
    }
  }
}

void schema_checker::CheckNames(const node& branch, const std::string& path) {
  std::map<std::string_view, const node_member*> first;
  for (const node_member& member : branch.members) {
    const auto [position, added] = first.emplace(member.name, &member);
    if (added) continue;
    const text_place place =
        tree_.lines.Place(tree_.text, position->second->name_range.begin);
    findings_.push_back(tree_.FindingAt(
        member.name_range.begin, JoinPath(path, member.name), "repeated name",
        "once; the first is at " + std::to_string(place.line) + ":" +
            std::to_string(place.column)));
  }
}

void schema_checker::CheckRequired(const node& branch, std::string_view pattern,
                                   const std::string& path) {
  for (const field_schema& field : schema_) {
    if (field.branch != pattern || !field.required) continue;
    if (branch.Find(field.name) != nullptr) continue;
    findings_.push_back(
        tree_.FindingAt(branch.range.begin, JoinPath(path, field.name),
                        "missing name", DescribeAllowed(field)));
  }
}

void schema_checker::CheckNamed(const node& branch, std::string_view pattern,
                                const std::string& path) {
  CheckNames(branch, path);
  const field_schema name_field{.type = field_type::kName};
  for (const node_member& member : branch.members) {
    const std::string member_path = JoinPath(path, member.name);
    if (!IsName(member.name)) {
      findings_.push_back(tree_.FindingAt(
          member.name_range.begin, path,
          "name \"" + member.name.substr(0, kLongestQuoted) + "\"",
          DescribeAllowed(name_field)));
    }
    if (member.value.kind != node_kind::kBranch) {
      ReportValue(member.value, field_schema{.type = field_type::kBranch},
                  member_path);
    } else {
      CheckBranch(member.value, pattern, member_path);
    }
  }
}

void schema_checker::CheckField(const node& value, const field_schema& field,
                                const std::string& path) {
  const std::string pattern = JoinPath(field.branch, field.name);
  const node_kind expected = ExpectedKind(field.type);
  if (expected == node_kind::kInteger || expected == node_kind::kReal) {
    return CheckNumber(value, field, path);
  }
  if (value.kind != expected) return ReportValue(value, field, path);
  if (expected == node_kind::kText) return CheckText(value, field, path);
  if (expected == node_kind::kList) return CheckList(value, field, path);
  if (field.type == field_type::kBranch) {
    return CheckBranch(value, pattern, path);
  }
  if (field.type == field_type::kNamed) CheckNamed(value, pattern + ".*", path);
}

void schema_checker::CheckNumber(const node& value, const field_schema& field,
                                 const std::string& path) {
  const bool whole = value.kind == node_kind::kInteger;
  const bool fits = field.type == field_type::kCount
                        ? whole
                        : whole || value.kind == node_kind::kReal;
  if (!fits || value.real < field.minimum || value.real > field.maximum) {
    ReportValue(value, field, path);
  }
}

void schema_checker::CheckText(const node& value, const field_schema& field,
                               const std::string& path) {
  if (!TextFits(value.text, field)) ReportValue(value, field, path);
}

void schema_checker::CheckList(const node& value, const field_schema& field,
                               const std::string& path) {
  const std::string pattern = JoinPath(field.branch, field.name) + "[]";
  if (static_cast<double>(value.items.size()) < field.minimum) {
    findings_.push_back(
        tree_.FindingAt(value.range.begin, path, "empty list",
                        "at least one name, or leave it out for all"));
  }
  std::set<std::string_view> seen;
  for (std::size_t i = 0; i < value.items.size(); ++i) {
    const node& item = value.items[i];
    const std::string item_path = path + "[" + std::to_string(i) + "]";
    if (field.type == field_type::kItems) {
      if (item.kind == node_kind::kBranch) {
        CheckBranch(item, pattern, item_path);
      } else {
        ReportValue(item, field_schema{.type = field_type::kBranch}, item_path);
      }
    } else if (item.kind != node_kind::kText || !TextFits(item.text, field)) {
      ReportValue(item, field, item_path);
    } else if (!seen.insert(item.text).second) {
      findings_.push_back(
          tree_.FindingAt(item.range.begin, item_path,
                          "repeated " + DescribeFound(tree_, item, field),
                          DescribeAllowed(field)));
    }
  }
}

void schema_checker::ReportUnknown(const node_member& member,
                                   std::string_view pattern,
                                   const std::string& path) {
  std::vector<std::string> known;
  std::string allowed;
  for (const field_schema& field : schema_) {
    if (field.branch != pattern) continue;
    known.emplace_back(field.name);
    if (!allowed.empty()) allowed += ", ";
    allowed += field.name;
  }
  const std::string name = member.name.substr(0, kLongestQuoted);
  findings_.push_back(tree_.FindingAt(
      member.name_range.begin, JoinPath(path, name), "unknown name",
      WithSuggestion(std::move(allowed), member.name, known)));
}

void schema_checker::ReportValue(const node& value, const field_schema& field,
                                 const std::string& path) {
  const std::string found = DescribeFound(tree_, value, field);
  std::string allowed = DescribeAllowed(field);
  if (value.kind == node_kind::kText) {
    allowed = WithSuggestion(std::move(allowed), value.text,
                             SplitChoices(field.choices));
  }
  findings_.push_back(
      tree_.FindingAt(value.range.begin, path, "found " + found, allowed));
}

}  // namespace radishwing::settings
