#include "src/settings/text_editor.h"

#include <boost/json/serialize.hpp>
#include <boost/json/string.hpp>

namespace radishwing::settings {
namespace {

enum class item_place { kLast, kNotLast };

// Erases an item and the white space that separated it: its whole line if
// nothing else stands there, else the blanks towards the next item, or towards
// the previous one for the last item.
void EraseItem(std::string& text, text_range cut, item_place place) {
  text.erase(cut.begin, cut.end - cut.begin);
  const std::size_t before = text.find_last_not_of(" \t", cut.begin - 1) + 1;
  const std::size_t after = text.find_first_not_of(" \t", cut.begin);
  const bool starts_line = text[before - 1] == '\n';
  if (starts_line && text[after] == '\n') {
    text.erase(before, after + 1 - before);
  } else if (place == item_place::kNotLast) {
    text.erase(cut.begin, after - cut.begin);
  } else if (!starts_line) {
    text.erase(before, cut.begin - before);
  }
}

}  // namespace

checked<text_editor> text_editor::Make(std::string file,
                                       std::string_view text) {
  checked<source_tree> tree = ParseTree(std::move(file), text);
  if (tree.index() == 1) return std::get<1>(std::move(tree));
  return text_editor(std::get<0>(std::move(tree)));
}

result<const node*> text_editor::Find(std::span<const std::string> path) const {
  const node* found = &tree_.root;
  std::string walked;
  for (const std::string& name : path) {
    walked = JoinPath(walked, name);
    const node_member* member = found->Find(name);
    if (member == nullptr) {
      return failure{failure_kind::kNotFound,
                     walked + " does not exist in the settings"};
    }
    found = &member->value;
  }
  return found;
}

result<done> text_editor::Replace(text_range range, std::string_view text) {
  std::string edited = tree_.text;
  edited.replace(range.begin, range.end - range.begin, text);
  checked<source_tree> tree = ParseTree(tree_.file, edited);
  if (tree.index() == 1) {
    return failure{failure_kind::kInternal,
                   "the edited text cannot be parsed: " +
                       FormatFinding(std::get<1>(tree).front())};
  }
  tree_ = std::get<0>(std::move(tree));
  return done();
}

result<done> text_editor::Set(std::span<const std::string> path,
                              std::string_view json) {
  const result<const node*> owner = Find(path.first(path.size() - 1));
  if (!Ok(owner)) return Error(owner);
  const node& branch = *Value(owner);
  if (const node_member* member = branch.Find(path.back())) {
    return Replace(member->value.range, json);
  }
  if (branch.kind != node_kind::kBranch) {
    return failure{failure_kind::kInvalid,
                   path.back() + " cannot be added: its owner is no branch"};
  }
  const std::string name =
      boost::json::serialize(boost::json::string(path.back()));
  const std::string entry = name + ": " + std::string(json);
  if (branch.members.empty()) return InsertLast(branch, nullptr, entry);
  const node_member& last = branch.members.back();
  const text_range range{last.name_range.begin, last.value.range.end};
  return InsertLast(branch, &range, entry);
}

result<done> text_editor::Append(std::span<const std::string> path,
                                 std::string_view json) {
  const result<const node*> found = Find(path);
  if (!Ok(found)) return Error(found);
  const node& list = *Value(found);
  if (list.kind != node_kind::kList) {
    return failure{failure_kind::kInvalid, path.back() + " is no list"};
  }
  if (list.items.empty()) return InsertLast(list, nullptr, json);
  return InsertLast(list, &list.items.back().range, json);
}

// White space from the start of the line up to `offset`; empty if anything
// else stands before it.
std::string text_editor::Indent(std::size_t offset) const {
  const std::size_t start = tree_.text.rfind('\n', offset) + 1;
  std::string indent = tree_.text.substr(start, offset - start);
  if (indent.find_first_not_of(" \t") != std::string::npos) return "";
  return indent;
}

// First `wanted` in `range` that is no part of a comment, or the end of the
// range. The range must hold only white space, commas and comments. The line
// end after a // comment is not part of the comment.
std::size_t text_editor::FindOutsideComments(text_range range,
                                             char wanted) const {
  const std::string& text = tree_.text;
  std::size_t at = range.begin;
  while (at < range.end && text[at] != wanted) {
    const std::string_view two = std::string_view(text).substr(at, 2);
    if (two == "//") {
      at = text.find('\n', at);
    } else if (two == "/*") {
      at = text.find("*/", at + 2) + 2;
    } else {
      ++at;
    }
  }
  return std::min(at, range.end);
}

// A new entry goes on a line of its own if the owner's last entry has one.
// The comma follows the last value directly, so that a comment at the end of
// that line still belongs to it.
result<done> text_editor::InsertLast(const node& owner, const text_range* last,
                                     std::string_view entry) {
  const std::size_t close = owner.range.end - 1;
  const std::size_t from = last ? last->end : owner.range.begin + 1;
  const std::size_t line_end = FindOutsideComments({from, close}, '\n');
  const bool own_line = line_end < close;
  std::string added = last ? "," : "";
  if (own_line) {
    added += tree_.text.substr(from, line_end - from);
    const std::string beside =
        last ? Indent(last->begin) : Indent(close) + "  ";
    added += '\n' + (beside.empty() ? Indent(close) + "  " : beside);
  } else if (last) {
    added += ' ';
  }
  added += entry;
  return Replace({from, own_line ? line_end : from}, added);
}

result<done> text_editor::Remove(std::span<const std::string> path,
                                 std::size_t index) {
  const result<const node*> found = Find(path);
  if (!Ok(found)) return Error(found);
  const node& list = *Value(found);
  if (index >= list.items.size()) {
    return failure{failure_kind::kNotFound, "no such item in " + path.back()};
  }
  const text_range item = list.items[index].range;
  text_range cut = item;
  std::string edited = tree_.text;
  if (index + 1 < list.items.size()) {
    edited.erase(
        FindOutsideComments({item.end, list.items[index + 1].range.begin}, ','),
        1);
    EraseItem(edited, cut, item_place::kNotLast);
  } else {
    if (index > 0) {
      edited.erase(FindOutsideComments(
                       {list.items[index - 1].range.end, item.begin}, ','),
                   1);
      cut = {item.begin - 1, item.end - 1};
    }
    EraseItem(edited, cut, item_place::kLast);
  }
  return Replace({0, tree_.text.size()}, edited);
}

}  // namespace radishwing::settings
