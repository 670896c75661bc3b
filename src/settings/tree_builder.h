#pragma once

#include <boost/json/error.hpp>
#include <boost/json/string_view.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "src/settings/node.h"

namespace radishwing::settings {

/// Handler of boost::json::basic_parser that builds nodes with their places.
/// The parser reports no offsets, so the builder follows the text with a
/// cursor: between two events there are only white space, `,` and `:`, since
/// comments are events too. The whole text must be given to the parser in one
/// call.
class tree_builder {
 public:
  explicit tree_builder(std::string_view text) : text_(text) {}

  node TakeRoot() { return std::move(root_); }

  // Boost.JSON prescribes the names of the members below.
  // NOLINTBEGIN(readability-identifier-naming)
  using error_code = boost::json::error_code;
  using string_view = boost::json::string_view;
  static constexpr std::size_t max_object_size = 1 << 20;
  static constexpr std::size_t max_array_size = 1 << 20;
  static constexpr std::size_t max_key_size = 1 << 20;
  static constexpr std::size_t max_string_size = 1 << 20;
  bool on_document_begin(error_code&) { return true; }
  bool on_document_end(error_code&) { return true; }
  bool on_object_begin(error_code&) { return Open(node_kind::kBranch); }
  bool on_object_end(std::size_t, error_code&) { return Close(); }
  bool on_array_begin(error_code&) { return Open(node_kind::kList); }
  bool on_array_end(std::size_t, error_code&) { return Close(); }
  bool on_key_part(string_view s, std::size_t, error_code&) { return Part(s); }
  bool on_key(string_view s, std::size_t, error_code&);
  bool on_string_part(string_view s, std::size_t, error_code&) {
    return Part(s);
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
  struct frame {
    node value;
    std::string name;  ///< Name of the member that comes next.
    text_range name_range;
  };

  void SkipSeparators();
  text_range TakeString();
  bool Part(string_view s);
  bool Open(node_kind kind);
  bool Close();
  bool AddNumber(node value, string_view s);
  bool Add(node value);

  std::string_view text_;
  std::size_t cursor_ = 0;
  std::string parts_;
  std::vector<frame> open_;
  node root_;
};

}  // namespace radishwing::settings
