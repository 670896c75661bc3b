#pragma once

#include <functional>
#include <memory>
#include <string_view>
#include <vector>

#include "src/rpc/settings_text.h"

namespace radishwing::control {

/// The newest settings that this control has seen. Never goes back to an older
/// revision, whoever offers it. Used on the decide thread.
class settings_keeper {
 public:
  /// Takes `offered` if it is newer and can be parsed. `source` is for the
  /// log. Returns true if it is in force now.
  bool Offer(const rpc::settings_text& offered, std::string_view source);

  const rpc::settings_text& Text() const { return text_; }
  std::uint64_t Revision() const { return text_.revision; }

  /// The parsed tree; null while no settings are known.
  const std::shared_ptr<const settings::fleet_settings>& Tree() const {
    return tree_;
  }

  /// Calls `listener` after each accepted change, in the order of adding.
  void OnChange(std::function<void()> listener) {
    listeners_.push_back(std::move(listener));
  }

 private:
  rpc::settings_text text_;
  std::shared_ptr<const settings::fleet_settings> tree_;
  std::uint64_t refused_revision_ = 0;
  std::vector<std::function<void()>> listeners_;
};

}  // namespace radishwing::control
