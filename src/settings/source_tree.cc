#include "src/settings/source_tree.h"

#include <boost/json/basic_parser_impl.hpp>

#include "src/settings/tree_builder.h"

namespace radishwing::settings {
namespace {

std::string_view AllowedInstead(const boost::json::error_code& error) {
  if (error == boost::json::error::too_deep) {
    return "at most 16 levels of branches and lists";
  }
  if (error == boost::json::error::incomplete) {
    return "every branch, list, text and comment closed before the end";
  }
  return "JSON with // and /* */ comments, without trailing commas";
}

}  // namespace

finding source_tree::FindingAt(std::size_t offset, std::string path,
                               std::string found, std::string allowed) const {
  const text_place place = lines.Place(text, offset);
  return finding{file,
                 place.line,
                 place.column,
                 std::move(path),
                 std::move(found),
                 std::move(allowed)};
}

checked<source_tree> ParseTree(std::string file, std::string_view text) {
  source_tree tree;
  tree.file = std::move(file);
  if (text.size() > kMaxTextBytes) {
    return std::vector{
        finding{tree.file, 0, 0, "", std::to_string(text.size()) + " bytes",
                "at most " + std::to_string(kMaxTextBytes) + " bytes"}};
  }
  tree.text = text;
  tree.lines = line_index(tree.text);
  // A // comment on the last line needs its line end.
  const std::string input = tree.text + '\n';
  boost::json::parse_options options;
  options.max_depth = kMaxDepth;
  options.allow_comments = true;
  boost::json::basic_parser<tree_builder> parser(options, input);
  boost::json::error_code error;
  const std::size_t consumed =
      parser.write_some(false, input.data(), input.size(), error);
  if (!error && consumed < input.size()) {
    error = boost::json::error::extra_data;
  }
  if (error) {
    return std::vector{tree.FindingAt(consumed, "", error.message(),
                                      std::string(AllowedInstead(error)))};
  }
  tree.root = parser.handler().TakeRoot();
  return tree;
}

std::string JoinPath(std::string_view path, std::string_view name) {
  std::string joined(path);
  if (!joined.empty()) joined += '.';
  return joined += name;
}

}  // namespace radishwing::settings
