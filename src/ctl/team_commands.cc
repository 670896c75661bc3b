#include "src/ctl/team_commands.h"

#include <array>
#include <charconv>

#include "src/base/sha256.h"
#include "src/ctl/settings_edit.h"

namespace radishwing::ctl {
namespace {

using settings::node;
using settings::node_member;
using settings::text_editor;

constexpr std::size_t kKeyBytes = 32;

std::string NumberText(double value) {
  std::array<char, 32> buffer;
  const auto end =
      std::to_chars(buffer.data(), buffer.data() + buffer.size(), value);
  return std::string(buffer.data(), end.ptr);
}

const node* FindTeam(const text_editor& editor, const std::string& team) {
  const node_member* teams = editor.Root().Find("teams");
  const node_member* found = teams ? teams->value.Find(team) : nullptr;
  return found ? &found->value : nullptr;
}

failure NoTeam(const std::string& team) {
  return {failure_kind::kNotFound, "team \"" + team + "\" does not exist"};
}

exit_code SetTeamValue(const command_context& context, const std::string& team,
                       const std::string& field, const std::string& json) {
  return EditSettings(context, [&](text_editor& editor) -> result<done> {
    if (!FindTeam(editor, team)) return NoTeam(team);
    return editor.Set(std::vector<std::string>{"teams", team, field}, json);
  });
}

/// Index of the key `key_id` in the team's list, or -1.
int KeyIndex(const node& team, const std::string& key_id) {
  const node_member* keys = team.Find("keys");
  if (!keys) return -1;
  for (std::size_t i = 0; i < keys->value.items.size(); ++i) {
    const node_member* id = keys->value.items[i].Find("id");
    if (id && id->value.text == key_id) return static_cast<int>(i);
  }
  return -1;
}

result<done> AddKeyHash(text_editor& editor, const std::string& team,
                        const std::string& key_id, const std::string& hash) {
  const node* found = FindTeam(editor, team);
  if (!found) return NoTeam(team);
  if (KeyIndex(*found, key_id) >= 0) {
    return failure{
        failure_kind::kInvalid,
        "team \"" + team + "\" has a key \"" + key_id + "\" already"};
  }
  const std::vector<std::string> path = {"teams", team, "keys"};
  if (!found->Find("keys")) {
    result<done> added = editor.Set(path, "[]");
    if (!Ok(added)) return added;
  }
  return editor.Append(path, "{\"id\": " + JsonText(key_id) +
                                 ", \"sha256\": " + JsonText(hash) + "}");
}

}  // namespace

exit_code AddTeam(const command_context& context, const std::string& team,
                  double share, std::uint32_t upper_limit) {
  return EditSettings(context, [&](text_editor& editor) -> result<done> {
    if (FindTeam(editor, team)) {
      return failure{failure_kind::kInvalid,
                     "team \"" + team + "\" exists already"};
    }
    result<done> ensured = EnsureBranch(editor, "teams");
    if (!Ok(ensured)) return ensured;
    return editor.Set(std::vector<std::string>{"teams", team},
                      "{\"share\": " + NumberText(share) +
                          ", \"upper_limit\": " + std::to_string(upper_limit) +
                          ", \"keys\": []}");
  });
}

exit_code SetTeamShare(const command_context& context, const std::string& team,
                       double share) {
  return SetTeamValue(context, team, "share", NumberText(share));
}

exit_code SetTeamLimit(const command_context& context, const std::string& team,
                       std::uint32_t upper_limit) {
  return SetTeamValue(context, team, "upper_limit",
                      std::to_string(upper_limit));
}

// The key is printed only if its hash is, or may be, in the settings.
exit_code GrantKey(const command_context& context, const std::string& team,
                   const std::string& key_id) {
  const std::string key = "rw_" + RandomHex(kKeyBytes);
  const std::string hash = Sha256Hex(key);
  return EditSettings(context,
                      [&](text_editor& editor) {
                        return AddKeyHash(editor, team, key_id, hash);
                      },
                      {{"team", team},
                       {"id", key_id},
                       {"key", key},
                       {"note", "the key is not shown again"}});
}

exit_code WithdrawKey(const command_context& context, const std::string& team,
                      const std::string& key_id) {
  return EditSettings(context, [&](text_editor& editor) -> result<done> {
    const node* found = FindTeam(editor, team);
    if (!found) return NoTeam(team);
    const int index = KeyIndex(*found, key_id);
    if (index < 0) {
      return failure{failure_kind::kNotFound,
                     "team \"" + team + "\" has no key \"" + key_id + "\""};
    }
    return editor.Remove(std::vector<std::string>{"teams", team, "keys"},
                         static_cast<std::size_t>(index));
  });
}

}  // namespace radishwing::ctl
