#include "src/entry/request_head.h"

#include <algorithm>
#include <charconv>

namespace radishwing::entry {
namespace {

constexpr std::string_view kScheme = "Bearer ";
constexpr std::size_t kNameMax = 128;  // User and workspace, in bytes.

failure Invalid(std::string message) {
  return {failure_kind::kInvalid, std::move(message)};
}

std::optional<fairness::work_class> ReadClass(std::string_view text) {
  if (text == "interactive") return fairness::work_class::kInteractive;
  if (text == "long") return fairness::work_class::kLong;
  if (text == "urgent") return fairness::work_class::kUrgent;
  return std::nullopt;
}

std::string_view ReadKey(std::string_view authorization) {
  if (authorization.size() <= kScheme.size() ||
      !boost::beast::iequals(authorization.substr(0, kScheme.size()),
                             kScheme)) {
    return {};
  }
  return authorization.substr(kScheme.size());
}

// One header that starts with "Radishwing-"; others are no concern of ours.
std::optional<failure> ReadOne(std::string_view name, std::string_view value,
                               request_head& head) {
  using boost::beast::iequals;
  std::string_view rest = name.substr(std::string_view("Radishwing-").size());
  if (iequals(rest, "Request-Id")) {
    if (!IsRequestId(value)) {
      return Invalid("Radishwing-Request-Id must be 1 to 64 of [A-Za-z0-9._-]");
    }
    head.request_id = value;
  } else if (iequals(rest, "Idempotent")) {
    if (value != "true" && value != "false") {
      return Invalid("Radishwing-Idempotent must be true or false");
    }
    head.idempotent = value == "true";
  } else if (iequals(rest, "Class")) {
    auto cls = ReadClass(value);
    if (!cls) {
      return Invalid("Radishwing-Class must be interactive, long or urgent");
    }
    head.cls = *cls;
  } else if (iequals(rest, "Deadline-Ms")) {
    head.deadline_ms = ReadNumber(value, 1, 3600000);
    if (!head.deadline_ms) {
      return Invalid("Radishwing-Deadline-Ms must be 1 to 3600000");
    }
  } else if (iequals(rest, "Attempt")) {
    auto attempt = ReadNumber(value, 1, 1000000);
    if (!attempt) return Invalid("Radishwing-Attempt must be 1 to 1000000");
    head.first_attempt = *attempt == 1;
  } else if (iequals(rest, "User")) {
    head.user = value;
  } else if (iequals(rest, "Workspace")) {
    head.workspace = value;
  }
  return std::nullopt;
}

}  // namespace

bool IsRequestId(std::string_view text) {
  auto allowed = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
  };
  return !text.empty() && text.size() <= 64 &&
         std::all_of(text.begin(), text.end(), allowed);
}

std::optional<std::int64_t> ReadNumber(std::string_view text, std::int64_t low,
                                       std::int64_t high) {
  std::int64_t value = 0;
  const char* end = text.data() + text.size();
  auto parsed = std::from_chars(text.data(), end, value);
  if (parsed.ec != std::errc{} || parsed.ptr != end || value < low ||
      value > high) {
    return std::nullopt;
  }
  return value;
}

result<request_head> ReadRequestHead(const http::fields& fields) {
  request_head head;
  for (const auto& field : fields) {
    if (field.name() == http::field::authorization) {
      head.key = ReadKey(field.value());
      continue;
    }
    if (field.name() != http::field::unknown) continue;
    std::string_view name = field.name_string();
    if (name.size() < 12 ||
        !boost::beast::iequals(name.substr(0, 11), "Radishwing-")) {
      continue;
    }
    if (auto wrong = ReadOne(name, field.value(), head)) return *wrong;
  }
  if (head.user.size() > kNameMax || head.workspace.size() > kNameMax) {
    return Invalid(
        "Radishwing-User and Radishwing-Workspace may have 128 bytes");
  }
  return head;
}

}  // namespace radishwing::entry
