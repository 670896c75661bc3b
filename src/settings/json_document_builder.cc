#include "src/settings/json_document_builder.h"

#include <limits>

namespace radishwing::settings {

void json_document_builder::SkipSeparators() {
  cursor_ = text_.find_first_not_of(" \t\r\n,:", cursor_);
  if (cursor_ == std::string_view::npos) cursor_ = text_.size();
}

// The parser has already accepted the string, so the closing quote exists.
text_range json_document_builder::ConsumeString() {
  SkipSeparators();
  text_range range{cursor_, cursor_ + 1};
  while (range.end < text_.size() && text_[range.end] != '"') {
    range.end += text_[range.end] == '\\' ? 2 : 1;
  }
  ++range.end;
  cursor_ = range.end;
  return range;
}

bool json_document_builder::AppendStringPart(string_view s) {
  string_parts_.append(s.data(), s.size());
  return true;
}

bool json_document_builder::BeginContainer(json_kind kind) {
  SkipSeparators();
  container_frame opened;
  opened.value.kind = kind;
  opened.value.range.begin = cursor_++;
  open_containers_.push_back(std::move(opened));
  return true;
}

bool json_document_builder::EndContainer() {
  SkipSeparators();
  json_value value = std::move(open_containers_.back().value);
  open_containers_.pop_back();
  value.range.end = ++cursor_;
  return AddValue(std::move(value));
}

bool json_document_builder::AddValue(json_value value) {
  if (open_containers_.empty()) {
    root_ = std::move(value);
    return true;
  }
  container_frame& parent = open_containers_.back();
  if (parent.value.kind == json_kind::kArray) {
    parent.value.elements.push_back(std::move(value));
  } else {
    parent.value.members.push_back(json_member{
        std::move(parent.name), parent.name_range, std::move(value)});
  }
  return true;
}

bool json_document_builder::on_key(string_view s, std::size_t, error_code&) {
  AppendStringPart(s);
  open_containers_.back().name = std::exchange(string_parts_, {});
  open_containers_.back().name_range = ConsumeString();
  return true;
}

bool json_document_builder::on_string(string_view s, std::size_t, error_code&) {
  AppendStringPart(s);
  json_value value;
  value.kind = json_kind::kString;
  value.string_value = std::exchange(string_parts_, {});
  value.range = ConsumeString();
  return AddValue(std::move(value));
}

bool json_document_builder::AddNumber(json_value value, string_view s) {
  SkipSeparators();
  value.range = {cursor_, cursor_ + s.size()};
  cursor_ = value.range.end;
  return AddValue(std::move(value));
}

bool json_document_builder::on_int64(std::int64_t number, string_view s,
                                     error_code&) {
  json_value value;
  value.kind = json_kind::kInteger;
  value.integer_value = number;
  value.number_value = static_cast<double>(number);
  return AddNumber(std::move(value), s);
}

bool json_document_builder::on_uint64(std::uint64_t number, string_view s,
                                      error_code&) {
  json_value value;
  value.kind = json_kind::kInteger;
  value.integer_value = std::numeric_limits<std::int64_t>::max();
  value.number_value = static_cast<double>(number);
  return AddNumber(std::move(value), s);
}

bool json_document_builder::on_double(double number, string_view s,
                                      error_code&) {
  json_value value;
  value.kind = json_kind::kDouble;
  value.number_value = number;
  return AddNumber(std::move(value), s);
}

bool json_document_builder::on_bool(bool flag, error_code&) {
  SkipSeparators();
  json_value value;
  value.kind = json_kind::kBool;
  value.bool_value = flag;
  value.range = {cursor_, cursor_ + (flag ? 4 : 5)};
  cursor_ = value.range.end;
  return AddValue(std::move(value));
}

bool json_document_builder::on_null(error_code&) {
  SkipSeparators();
  json_value value;
  value.range = {cursor_, cursor_ + 4};
  cursor_ = value.range.end;
  return AddValue(std::move(value));
}

// The parser passes comments without copying them, so `s` points into `text_`.
bool json_document_builder::on_comment(string_view s, error_code&) {
  cursor_ = static_cast<std::size_t>(s.data() + s.size() - text_.data());
  return true;
}

}  // namespace radishwing::settings
