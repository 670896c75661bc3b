#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace radishwing::settings {

/// Kinds of value in a settings text.
enum class node_kind { kNull, kFlag, kInteger, kReal, kText, kList, kBranch };

/// Part of a text, in bytes: `begin` is included, `end` is not.
struct text_range {
  std::size_t begin = 0;
  std::size_t end = 0;
};

struct node_member;

/// One value of a settings text with its place. Members and items keep the
/// order of the text; repeated names are kept too, the checker reports them.
struct node {
  node_kind kind = node_kind::kNull;
  text_range range;
  bool flag = false;
  std::int64_t integer = 0;  ///< Limited to the 64-bit range; see `real`.
  double real = 0;           ///< Set for kInteger as well.
  std::string text;
  std::vector<node> items;
  std::vector<node_member> members;

  /// The first member called `name`, or null.
  const node_member* Find(std::string_view name) const;
};

/// One name and value of a branch.
struct node_member {
  std::string name;
  text_range name_range;  ///< Includes the quotes.
  node value;
};

}  // namespace radishwing::settings
