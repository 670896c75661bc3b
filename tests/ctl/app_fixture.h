#pragma once

#include <fstream>
#include <map>
#include <sstream>
#include <string>
#include <vector>

#include "src/ctl/app.h"
#include "tests/ctl/fake_control.h"

namespace radishwing::ctl {

/// Runs command lines against a fake control, on a clock that only `sleep`
/// advances.
struct app_fixture {
  static constexpr const char* kText =
      "{\n"
      "  // The whole fleet.\n"
      "  \"fleet\": {\"name\": \"f\"},\n"
      "  \"teams\": {\n"
      "    \"uva\": {\"share\": 0.5, \"upper_limit\": 9} // university\n"
      "  },\n"
      "  \"pools\": {\"p\": {\"target_hosts\": 2, \"spare\": true}}\n"
      "}\n";

  exit_code Run(const std::vector<std::string>& arguments) {
    out.str("");
    err.str("");
    app_hooks hooks;
    hooks.out = &out;
    hooks.err = &err;
    hooks.environment = [this](const std::string& name) {
      const auto found = variables.find(name);
      return found == variables.end() ? std::nullopt
                                      : std::optional(found->second);
    };
    hooks.transport = transport ? transport : control.Transport();
    hooks.make_change_id = [] { return std::string("ours"); };
    hooks.sleep = [this](millis time) { time_.Advance(time); };
    hooks.now = time_.View();
    return static_cast<exit_code>(RunApp(arguments, hooks));
  }

  std::string All() const { return out.str() + err.str(); }
  bool Shows(const std::string& text) const {
    return All().find(text) != std::string::npos;
  }

  std::map<std::string, std::string> variables = {
      {"RADISHWING_OPERATOR_SECRET", "operator-secret-of-the-test"},
      {"USER", "ben"}};
  fake_control control{kText};
  operator_transport transport;
  std::ostringstream out;
  std::ostringstream err;

 private:
  manual_clock time_;
};

}  // namespace radishwing::ctl
