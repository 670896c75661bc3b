#include "src/control/operator_json.h"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <charconv>

#include "src/settings/field_schema.h"

namespace radishwing::control {
namespace {

constexpr std::size_t kMaxBodyDepth = 4;
constexpr std::size_t kMaxAuthorBytes = 128;

failure Invalid(std::string message) {
  return {failure_kind::kInvalid, std::move(message)};
}

result<std::string> Text(const boost::json::object& body,
                         std::string_view name) {
  const boost::json::value* value =
      body.if_contains({name.data(), name.size()});
  if (!value || !value->is_string()) {
    return Invalid("field \"" + std::string(name) + "\" must be a text");
  }
  return std::string(value->get_string());
}

result<std::string> Name(const boost::json::object& body,
                         std::string_view name) {
  result<std::string> text = Text(body, name);
  if (Ok(text) && !settings::IsName(Value(text))) {
    return Invalid("field \"" + std::string(name) +
                   "\" must be 1 to 64 characters of A-Z a-z 0-9 . _ -");
  }
  return text;
}

// The author is shown to other operators, so it must not carry control
// characters to their terminals.
result<std::string> Author(const boost::json::object& body) {
  result<std::string> text = Text(body, "author");
  if (!Ok(text)) return text;
  const std::string& author = Value(text);
  const bool printable =
      std::none_of(author.begin(), author.end(),
                   [](unsigned char c) { return c < 0x20 || c == 0x7f; });
  if (author.empty() || author.size() > kMaxAuthorBytes || !printable) {
    return Invalid("field \"author\" must be 1 to 128 printable characters");
  }
  return text;
}

}  // namespace

result<boost::json::object> ParseOperatorBody(std::string_view body) {
  boost::json::parse_options options;
  options.max_depth = kMaxBodyDepth;
  boost::json::error_code error;
  boost::json::value value =
      boost::json::parse({body.data(), body.size()}, error, {}, options);
  if (error || !value.is_object()) {
    return Invalid("the body must be one JSON object");
  }
  return std::move(value.get_object());
}

result<settings_proposal> ReadProposal(const boost::json::object& body) {
  settings_proposal proposal;
  const boost::json::value* base = body.if_contains("base_revision");
  if (!base || !base->is_int64() || base->get_int64() < 0) {
    return Invalid(
        "field \"base_revision\" must be a whole number, at least 0");
  }
  proposal.base_revision = static_cast<std::uint64_t>(base->get_int64());
  result<std::string> change_id = Name(body, "change_id");
  if (!Ok(change_id)) return Error(change_id);
  result<std::string> author = Author(body);
  if (!Ok(author)) return Error(author);
  result<std::string> text = Text(body, "text");
  if (!Ok(text)) return Error(text);
  proposal.change_id = Value(std::move(change_id));
  proposal.author = Value(std::move(author));
  proposal.text = Value(std::move(text));
  return proposal;
}

result<host_order> ReadHostOrder(const std::string& host,
                                 const std::string& verb,
                                 const boost::json::object& body) {
  host_order order;
  order.host = host;
  if (verb == "return") order.action = host_order::verb::kReturn;
  if (verb == "move") {
    order.action = host_order::verb::kMove;
    result<std::string> pool = Name(body, "pool");
    if (!Ok(pool)) return Error(pool);
    order.pool = Value(std::move(pool));
  }
  result<std::string> change_id = Name(body, "change_id");
  if (!Ok(change_id)) return Error(change_id);
  order.change_id = Value(std::move(change_id));
  return order;
}

result<std::uint64_t> ReadRevision(std::string_view text) {
  std::uint64_t revision = 0;
  const auto end =
      std::from_chars(text.data(), text.data() + text.size(), revision);
  if (end.ec != std::errc() || end.ptr != text.data() + text.size() ||
      revision == 0) {
    return Invalid("\"revision\" must be a whole number, at least 1");
  }
  return revision;
}

result<log_level> ReadLogLevel(const boost::json::object& body) {
  result<std::string> level = Text(body, "level");
  if (!Ok(level)) return Error(level);
  if (Value(level) == "debug") return log_level::kDebug;
  if (Value(level) == "info") return log_level::kInfo;
  if (Value(level) == "warning") return log_level::kWarning;
  if (Value(level) == "error") return log_level::kError;
  return Invalid("field \"level\" must be debug, info, warning or error");
}

boost::json::object RevisionToJson(const settings_revision& revision) {
  boost::json::object object = {{"revision", revision.revision},
                                {"change_id", revision.change_id},
                                {"author", revision.author}};
  if (!revision.text.empty()) object["text"] = revision.text;
  return object;
}

boost::json::value HistoryToJson(const std::vector<settings_revision>& list) {
  boost::json::array entries;
  for (const settings_revision& revision : list) {
    entries.push_back(RevisionToJson(revision));
  }
  return boost::json::object{{"entries", std::move(entries)}};
}

boost::json::value ConfirmationsToJson(
    const std::vector<member_confirmation>& list) {
  boost::json::array members;
  for (const member_confirmation& member : list) {
    members.push_back({{"host", member.host},
                       {"revision", member.revision},
                       {"silent_ms", member.silent_ms}});
  }
  return boost::json::object{{"members", std::move(members)}};
}

}  // namespace radishwing::control
