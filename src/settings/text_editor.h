#pragma once

#include <span>
#include <string>
#include <string_view>

#include "src/base/result.h"
#include "src/settings/source_tree.h"

namespace radishwing::settings {

/// Edits a settings text in place: only the bytes of the values concerned
/// change, comments and formatting stay. Values are given as JSON.
class text_editor {
 public:
  static checked<text_editor> Make(std::string file, std::string_view text);

  const std::string& Text() const { return tree_.text; }
  const node& Root() const { return tree_.root; }

  /// Sets the value at `path`. The last name is added to its branch if it is
  /// missing; a missing branch before it is kNotFound.
  result<done> Set(std::span<const std::string> path, std::string_view json);

  /// Adds an item at the end of the list at `path`.
  result<done> Append(std::span<const std::string> path, std::string_view json);

  /// Removes item `index` of the list at `path`. Comments beside it stay.
  result<done> Remove(std::span<const std::string> path, std::size_t index);

 private:
  explicit text_editor(source_tree tree) : tree_(std::move(tree)) {}

  result<const node*> Find(std::span<const std::string> path) const;
  result<done> Replace(text_range range, std::string_view text);
  result<done> InsertLast(const node& owner, const text_range* last,
                          std::string_view entry);
  std::string Indent(std::size_t offset) const;
  std::size_t FindOutsideComments(text_range range, char wanted) const;

  source_tree tree_;
};

}  // namespace radishwing::settings
