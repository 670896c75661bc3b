#include "src/control/settings_keeper.h"

#include <string>

#include "src/base/log.h"

namespace radishwing::control {

bool settings_keeper::Offer(const rpc::settings_text& offered,
                            std::string_view source) {
  if (offered.revision <= text_.revision) return false;
  auto parsed = rpc::ParseSettingsText(offered.revision, offered.text);
  if (!Ok(parsed)) {
    // The same text arrives again with each digest: log it once.
    if (refused_revision_ != offered.revision) {
      LogError("settings", "revision refused, revision=" +
                               std::to_string(offered.revision) +
                               " reason=" + Error(parsed).message);
    }
    refused_revision_ = offered.revision;
    return false;
  }
  text_ = offered;
  tree_ = Value(parsed);
  LogInfo("settings",
          "revision accepted, revision=" + std::to_string(text_.revision) +
              " source=" + std::string(source) +
              " change_id=" + text_.change_id);
  for (const auto& listener : listeners_) listener();
  return true;
}

}  // namespace radishwing::control
