#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "src/settings/field_schema.h"
#include "src/settings/node.h"

namespace radishwing::settings {

/// Reads the fields of one branch. An absent field, or one whose value has
/// another kind (which the checker reports), has the default of its row.
class field_reader {
 public:
  /// `branch` may be null: then every field has its default. Both it and the
  /// schema must outlive the reader.
  field_reader(const node* branch, std::span<const field_schema> schema,
               std::string_view pattern)
      : branch_(branch), schema_(schema), pattern_(pattern) {}

  std::string Text(std::string_view name) const;
  bool Flag(std::string_view name) const;
  std::int64_t Count(std::string_view name) const;
  double Number(std::string_view name) const;
  std::vector<std::string> Texts(std::string_view name) const;

  /// The value of `name` in the text, or null if it is absent.
  const node* Find(std::string_view name) const;

 private:
  std::string_view Default(std::string_view name) const;

  const node* branch_;
  std::span<const field_schema> schema_;
  std::string_view pattern_;
};

}  // namespace radishwing::settings
