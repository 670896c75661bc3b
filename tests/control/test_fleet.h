#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "src/control/control_core.h"
#include "src/control/control_process.h"
#include "tests/control/fake_store.h"
#include "tests/control/test_network.h"

namespace radishwing::control {

/// Settings texts and several controls in one process on loopback, ten times
/// faster than in production.
class test_fleet {
 public:
  /// Starts a control. Its host name is `name`, which must be unusual enough
  /// for test_network.
  control_process& Start(const std::string& name, const std::string& centre,
                         const std::string& secret = "fleet secret");

  /// Ends a control without any goodbye, as a kill does.
  void Kill(const std::string& name) { controls_.erase(name); }

  control_process& Get(const std::string& name) { return *controls_.at(name); }
  bool Runs(const std::string& name) { return controls_.contains(name); }

  /// Writes settings of `revision` into the store.
  void Publish(std::uint64_t revision);

  /// Revision in force at a control.
  std::uint64_t Revision(const std::string& name);

  /// The state in which `name` sees `other`; "unknown" without a row.
  std::string Sees(const std::string& name, const std::string& other);

  /// Evaluates `condition` until it holds; false if it never does. The bound
  /// only ends a hung test.
  static bool Eventually(const std::function<bool()>& condition);

  static std::string SettingsText();

  fake_store store;
  test_network network;
  std::function<void(control_options&)> adjust;

 private:
  std::uint64_t incarnation_ = 1000;
  std::vector<std::string> addresses_;
  std::map<std::string, std::unique_ptr<control_process>> controls_;
};

}  // namespace radishwing::control
