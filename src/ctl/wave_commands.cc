#include "src/ctl/wave_commands.h"

#include <algorithm>
#include <span>

#include "src/ctl/settings_edit.h"
#include "src/ctl/show_command.h"

namespace radishwing::ctl {
namespace {

using settings::node_member;
using settings::text_editor;

struct wave_order {
  std::string_view name;
  std::string_view from;  ///< States it fits, separated by `|`.
  std::string_view to;
};

constexpr wave_order kOrders[] = {
    {"start", "planned", "running"},
    {"pause", "running", "paused"},
    {"resume", "paused", "running"},
    {"abort", "planned|running|paused", "aborted"},
};

const node_member* FindWave(const text_editor& editor,
                            const std::string& wave) {
  const node_member* waves = editor.Root().Find("waves");
  return waves ? waves->value.Find(wave) : nullptr;
}

std::string PresentState(const node_member& wave) {
  const node_member* state = wave.value.Find("state");
  return state ? state->value.text : "planned";
}

result<done> ChangeState(text_editor& editor, const std::string& wave,
                         const std::string& order) {
  const auto found = std::find_if(
      std::begin(kOrders), std::end(kOrders),
      [&](const wave_order& candidate) { return candidate.name == order; });
  const node_member* member = FindWave(editor, wave);
  if (found == std::end(kOrders) || !member) {
    return failure{failure_kind::kNotFound,
                   "wave \"" + wave + "\" does not exist"};
  }
  const std::string state = PresentState(*member);
  if (found->from.find(state) == std::string_view::npos) {
    return failure{failure_kind::kInvalid, "wave \"" + wave + "\" is " + state +
                                               " and cannot " + order};
  }
  return editor.Set(std::vector<std::string>{"waves", wave, "state"},
                    JsonText(found->to));
}

}  // namespace

exit_code PlanWave(const command_context& context, const std::string& wave,
                   const std::vector<std::string>& pools,
                   const std::string& kind) {
  return EditSettings(context, [&](text_editor& editor) -> result<done> {
    if (FindWave(editor, wave)) {
      return failure{failure_kind::kInvalid,
                     "wave \"" + wave + "\" exists already"};
    }
    result<done> ensured = EnsureBranch(editor, "waves");
    if (!Ok(ensured)) return ensured;
    std::string json = "{";
    for (const std::string& pool : pools) {
      json += (json.size() == 1 ? "\"pools\": [" : ", ") + JsonText(pool);
    }
    if (!pools.empty()) json += "], ";
    json += "\"kind\": " + JsonText(kind) + ", \"state\": \"planned\"}";
    return editor.Set(std::vector<std::string>{"waves", wave}, json);
  });
}

exit_code OrderWave(const command_context& context, const std::string& wave,
                    const std::string& order) {
  return EditSettings(context, [&](text_editor& editor) {
    return ChangeState(editor, wave, order);
  });
}

exit_code ShowWaves(const command_context& context) {
  static constexpr table_column kColumns[] = {{"WAVE", "wave"},
                                              {"KIND", "kind"},
                                              {"STATE", "state"},
                                              {"WAITING", "waiting"},
                                              {"IN PROGRESS", "in_progress"},
                                              {"DONE", "done"},
                                              {"UNHEALTHY", "unhealthy"},
                                              {"NOTE", "note"}};
  return ShowList(context, "/v1/waves", "waves", kColumns);
}

exit_code ShowWave(const command_context& context, const std::string& wave) {
  return ShowObject(context, "/v1/waves/" + wave);
}

}  // namespace radishwing::ctl
