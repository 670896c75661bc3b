#include "src/settings/json_document.h"

#include <boost/json/basic_parser_impl.hpp>

#include "src/settings/json_document_builder.h"

namespace radishwing::settings {
namespace {

std::string_view DescribeExpectedSyntax(const boost::json::error_code& error) {
  if (error == boost::json::error::too_deep) {
    return "at most 16 levels of nested objects and arrays";
  }
  if (error == boost::json::error::incomplete) {
    return "every object, array, string and comment closed before the end";
  }
  return "JSON with // and /* */ comments, without trailing commas";
}

}  // namespace

finding json_document::MakeFindingAt(std::size_t offset, std::string path,
                                     std::string found,
                                     std::string allowed) const {
  const text_position position = lines.PositionOf(text, offset);
  return finding{file,
                 position.line,
                 position.column,
                 std::move(path),
                 std::move(found),
                 std::move(allowed)};
}

parse_result<json_document> ParseJsonDocument(std::string file,
                                              std::string_view text) {
  json_document document;
  document.file = std::move(file);
  if (text.size() > kMaxTextBytes) {
    return std::vector{
        finding{document.file, 0, 0, "", std::to_string(text.size()) + " bytes",
                "at most " + std::to_string(kMaxTextBytes) + " bytes"}};
  }
  document.text = text;
  document.lines = line_index(document.text);
  // Boost.JSON ends a // comment only at a newline, and the last line of the
  // text may lack a newline.
  const std::string input = document.text + '\n';
  boost::json::parse_options options;
  options.max_depth = kMaxDepth;
  options.allow_comments = true;
  boost::json::basic_parser<json_document_builder> parser(options, input);
  boost::json::error_code error;
  const std::size_t consumed =
      parser.write_some(false, input.data(), input.size(), error);
  if (!error && consumed < input.size()) {
    error = boost::json::error::extra_data;
  }
  if (error) {
    return std::vector{
        document.MakeFindingAt(consumed, "", error.message(),
                               std::string(DescribeExpectedSyntax(error)))};
  }
  document.root = parser.handler().TakeRoot();
  return document;
}

std::string JoinPath(std::string_view path, std::string_view name) {
  std::string joined(path);
  if (!joined.empty()) joined += '.';
  return joined += name;
}

}  // namespace radishwing::settings
