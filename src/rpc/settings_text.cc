#include "src/rpc/settings_text.h"

namespace radishwing::rpc {

result<std::shared_ptr<const settings::fleet_settings>> ParseSettingsText(
    std::uint64_t revision, std::string_view) {
  auto tree = std::make_shared<settings::fleet_settings>();
  tree->revision = revision;
  return std::shared_ptr<const settings::fleet_settings>(std::move(tree));
}

}  // namespace radishwing::rpc
