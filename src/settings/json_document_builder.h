#pragma once

#include <boost/json/error.hpp>
#include <boost/json/string_view.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "src/settings/json_value.h"

namespace radishwing::settings {

/// SAX handler for boost::json::basic_parser that builds json_values with their
/// source ranges. The parser reports no offsets, so the builder advances a
/// cursor through the text. Comments are parser events too, so only whitespace,
/// `,` and `:` occur between the texts of two events.
class json_document_builder {
 public:
  /// The parser must read `text` itself, not a copy, in a single call of
  /// write_some(). `text` must outlive the builder.
  explicit json_document_builder(std::string_view text) : text_(text) {}

  /// Moves the root value out of the builder. Call it after parsing.
  json_value TakeRoot() { return std::move(root_); }

  // Boost.JSON requires these names. The functions return true to continue
  // parsing. The size limits exceed kMaxTextBytes, so they never apply.
  // NOLINTBEGIN(readability-identifier-naming)
  using error_code = boost::json::error_code;
  using string_view = boost::json::string_view;
  static constexpr std::size_t max_object_size = 1 << 20;
  static constexpr std::size_t max_array_size = 1 << 20;
  static constexpr std::size_t max_key_size = 1 << 20;
  static constexpr std::size_t max_string_size = 1 << 20;
  bool on_document_begin(error_code&) { return true; }
  bool on_document_end(error_code&) { return true; }
  bool on_object_begin(error_code&) {
    return BeginContainer(json_kind::kObject);
  }
  bool on_object_end(std::size_t, error_code&) { return EndContainer(); }
  bool on_array_begin(error_code&) { return BeginContainer(json_kind::kArray); }
  bool on_array_end(std::size_t, error_code&) { return EndContainer(); }
  bool on_key_part(string_view s, std::size_t, error_code&) {
    return AppendStringPart(s);
  }
  bool on_key(string_view s, std::size_t, error_code&);
  bool on_string_part(string_view s, std::size_t, error_code&) {
    return AppendStringPart(s);
  }
  bool on_string(string_view s, std::size_t, error_code&);
  bool on_number_part(string_view, error_code&) { return true; }
  bool on_int64(std::int64_t value, string_view s, error_code&);
  bool on_uint64(std::uint64_t value, string_view s, error_code&);
  bool on_double(double value, string_view s, error_code&);
  bool on_bool(bool value, error_code&);
  bool on_null(error_code&);
  bool on_comment_part(string_view, error_code&) { return true; }
  bool on_comment(string_view s, error_code&);
  // NOLINTEND(readability-identifier-naming)

 private:
  /// An object or array whose end has not been parsed yet.
  struct container_frame {
    json_value value;
    std::string name;       ///< Name of the next member, if this is an object.
    text_range name_range;  ///< Source range of `name`, with its quotes.
  };

  /// Moves the cursor past whitespace, commas and colons.
  void SkipSeparators();
  /// Moves the cursor past the next string and returns its source range,
  /// including the quotes.
  text_range ConsumeString();
  // The on_*() functions return the results of the functions below. The results
  // are always true, because false would stop the parser.
  bool AppendStringPart(string_view s);
  bool BeginContainer(json_kind kind);
  bool EndContainer();
  /// Adds a number whose source text is `s`.
  bool AddNumber(json_value value, string_view s);
  /// Adds a value to the innermost open container, or makes it the root.
  bool AddValue(json_value value);

  std::string_view text_;
  /// Offset in `text_` of the end of the last token passed to the builder.
  std::size_t cursor_ = 0;
  /// Parts received so far of the current string or member name.
  std::string string_parts_;
  /// Containers that contain the cursor, from the outermost to the innermost.
  std::vector<container_frame> open_containers_;
  json_value root_;
};

}  // namespace radishwing::settings
