#include "src/settings/tree_builder.h"

#include <limits>

namespace radishwing::settings {

void tree_builder::SkipSeparators() {
  cursor_ = text_.find_first_not_of(" \t\r\n,:", cursor_);
  if (cursor_ == std::string_view::npos) cursor_ = text_.size();
}

// The parser has accepted the string, so its closing quote exists.
text_range tree_builder::TakeString() {
  SkipSeparators();
  text_range range{cursor_, cursor_ + 1};
  while (range.end < text_.size() && text_[range.end] != '"') {
    range.end += text_[range.end] == '\\' ? 2 : 1;
  }
  ++range.end;
  cursor_ = range.end;
  return range;
}

bool tree_builder::Part(string_view s) {
  parts_.append(s.data(), s.size());
  return true;
}

bool tree_builder::Open(node_kind kind) {
  SkipSeparators();
  frame opened;
  opened.value.kind = kind;
  opened.value.range.begin = cursor_++;
  open_.push_back(std::move(opened));
  return true;
}

bool tree_builder::Close() {
  SkipSeparators();
  node value = std::move(open_.back().value);
  open_.pop_back();
  value.range.end = ++cursor_;
  return Add(std::move(value));
}

bool tree_builder::Add(node value) {
  if (open_.empty()) {
    root_ = std::move(value);
    return true;
  }
  frame& parent = open_.back();
  if (parent.value.kind == node_kind::kList) {
    parent.value.items.push_back(std::move(value));
  } else {
    parent.value.members.push_back(node_member{
        std::move(parent.name), parent.name_range, std::move(value)});
  }
  return true;
}

bool tree_builder::on_key(string_view s, std::size_t, error_code&) {
  Part(s);
  open_.back().name = std::exchange(parts_, {});
  open_.back().name_range = TakeString();
  return true;
}

bool tree_builder::on_string(string_view s, std::size_t, error_code&) {
  Part(s);
  node value;
  value.kind = node_kind::kText;
  value.text = std::exchange(parts_, {});
  value.range = TakeString();
  return Add(std::move(value));
}

bool tree_builder::AddNumber(node value, string_view s) {
  SkipSeparators();
  value.range = {cursor_, cursor_ + s.size()};
  cursor_ = value.range.end;
  return Add(std::move(value));
}

bool tree_builder::on_int64(std::int64_t number, string_view s, error_code&) {
  node value;
  value.kind = node_kind::kInteger;
  value.integer = number;
  value.real = static_cast<double>(number);
  return AddNumber(std::move(value), s);
}

bool tree_builder::on_uint64(std::uint64_t number, string_view s, error_code&) {
  node value;
  value.kind = node_kind::kInteger;
  value.integer = std::numeric_limits<std::int64_t>::max();
  value.real = static_cast<double>(number);
  return AddNumber(std::move(value), s);
}

bool tree_builder::on_double(double number, string_view s, error_code&) {
  node value;
  value.kind = node_kind::kReal;
  value.real = number;
  return AddNumber(std::move(value), s);
}

bool tree_builder::on_bool(bool flag, error_code&) {
  SkipSeparators();
  node value;
  value.kind = node_kind::kFlag;
  value.flag = flag;
  value.range = {cursor_, cursor_ + (flag ? 4 : 5)};
  cursor_ = value.range.end;
  return Add(std::move(value));
}

bool tree_builder::on_null(error_code&) {
  SkipSeparators();
  node value;
  value.range = {cursor_, cursor_ + 4};
  cursor_ = value.range.end;
  return Add(std::move(value));
}

// Comments are never copied: `s` ends in the text itself.
bool tree_builder::on_comment(string_view s, error_code&) {
  cursor_ = static_cast<std::size_t>(s.data() + s.size() - text_.data());
  return true;
}

}  // namespace radishwing::settings
