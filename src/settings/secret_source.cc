#include "src/settings/secret_source.h"

#include "src/settings/field_reader.h"
#include "src/settings/text_file.h"

namespace radishwing::settings {
namespace {

std::string AllowedText(const secret_source& source) {
  return std::to_string(kShortestSecret) + " to " +
         std::to_string(kLongestSecret) + " bytes, from the file named by " +
         source.field + " or from the environment's " + source.variable +
         ", not from both";
}

}  // namespace

secret_text ReadSecret(const source_tree& tree, const secret_source& source,
                       const environment& env, std::vector<finding>& findings) {
  const node_member* member = tree.root.Find(source.field);
  const std::size_t place =
      member ? member->value.range.begin : tree.root.range.begin;
  const auto reject = [&](std::string found) {
    findings.push_back(tree.FindingAt(place, source.field, std::move(found),
                                      AllowedText(source)));
    return secret_text();
  };
  std::optional<std::string> text = env(source.variable);
  if (member && text) return reject("two sources of the secret");
  if (!member && !text) return reject("no source of the secret");
  if (member) {
    if (member->value.kind != node_kind::kText) return secret_text();
    result<std::string> read = ReadTextFile(member->value.text, kLongestSecret);
    if (!Ok(read)) return reject(Error(read).message);
    text = Value(std::move(read));
  }
  text->erase(text->find_last_not_of(" \t\r\n") + 1);
  if (text->size() < kShortestSecret || text->size() > kLongestSecret) {
    return reject("secret of " + std::to_string(text->size()) + " bytes");
  }
  return secret_text(std::move(*text));
}

}  // namespace radishwing::settings
