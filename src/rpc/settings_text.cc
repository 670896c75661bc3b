#include "src/rpc/settings_text.h"

#include "src/settings/fleet_parser.h"

namespace radishwing::rpc {

result<std::shared_ptr<const settings::fleet_settings>> ParseSettingsText(
    std::uint64_t revision, std::string_view text) {
  auto parsed = settings::ParseFleetSettings("settings", text, revision);
  if (auto* findings = std::get_if<std::vector<finding>>(&parsed)) {
    std::string first =
        findings->empty() ? "no finding" : FormatFinding(findings->front());
    return failure{failure_kind::kInvalid, std::to_string(findings->size()) +
                                               " findings, the first one is " +
                                               first};
  }
  return std::make_shared<const settings::fleet_settings>(
      std::move(std::get<settings::fleet_settings>(parsed)));
}

}  // namespace radishwing::rpc
