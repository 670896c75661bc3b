#include "src/ctl/completion.h"

#include <CLI/CLI.hpp>

namespace radishwing::ctl {
namespace {

std::string OptionWords(const CLI::App& app) {
  std::string words;
  for (const CLI::Option* option : app.get_options()) {
    for (const std::string& name : option->get_lnames()) {
      words += " --" + name;
    }
  }
  return words;
}

// One case per command path, such as `settings apply`.
void AppendCases(std::string& script, const CLI::App& app,
                 const std::string& path, const std::string& global_words) {
  std::string words;
  for (const CLI::App* command : app.get_subcommands({})) {
    words += " " + command->get_name();
  }
  words += OptionWords(app);
  if (!path.empty()) words += global_words;
  script += "    \"" + path + "\") words=\"" + words.substr(1) + "\" ;;\n";
  for (const CLI::App* command : app.get_subcommands({})) {
    if (command->get_name().empty()) continue;
    AppendCases(
        script, *command,
        path.empty() ? command->get_name() : path + " " + command->get_name(),
        global_words);
  }
}

}  // namespace

std::string BashCompletion(const CLI::App& app) {
  std::string script =
      "_radishwingctl() {\n"
      "  local path=\"\" word words=\"\" i\n"
      "  for ((i = 1; i < COMP_CWORD; i++)); do\n"
      "    word=\"${COMP_WORDS[i]}\"\n"
      "    [[ \"$word\" == -* ]] && continue\n"
      "    [[ \" $(_radishwingctl_words \"$path\") \" == *\" $word \"* ]] &&\n"
      "      path=\"${path:+$path }$word\"\n"
      "  done\n"
      "  words=\"$(_radishwingctl_words \"$path\")\"\n"
      "  COMPREPLY=($(compgen -W \"$words\" -- "
      "\"${COMP_WORDS[COMP_CWORD]}\"))\n"
      "}\n"
      "_radishwingctl_words() {\n"
      "  local words=\"\"\n"
      "  case \"$1\" in\n";
  AppendCases(script, app, "", OptionWords(app));
  script +=
      "  esac\n"
      "  echo \"$words\"\n"
      "}\n"
      "complete -o default -F _radishwingctl radishwingctl\n";
  return script;
}

}  // namespace radishwing::ctl
