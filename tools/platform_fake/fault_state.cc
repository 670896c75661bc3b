#include "tools/platform_fake/fault_state.h"

#include <boost/json/parse.hpp>
#include <boost/json/value_to.hpp>
#include <exception>
#include <map>
#include <string_view>

namespace radishwing::platform_fake {

result<fault> ParseFault(const std::string& body) {
  static const std::map<std::string_view, fault_mode> kModes = {
      {"none", fault_mode::kNone},
      {"down", fault_mode::kDown},
      {"slow", fault_mode::kSlow},
      {"lose_answers", fault_mode::kLoseAnswers},
      {"silent", fault_mode::kSilent},
      {"lapse_lease", fault_mode::kLapseLease},
      {"fail_host", fault_mode::kFailHost}};
  try {
    const boost::json::object object = boost::json::parse(body).as_object();
    const auto mode = kModes.find(object.at("mode").as_string());
    if (mode == kModes.end()) {
      return failure{failure_kind::kInvalid, "unknown fault mode"};
    }
    fault out;
    out.mode = mode->second;
    if (const auto* v = object.if_contains("delay_ms")) {
      out.delay_ms = boost::json::value_to<millis>(*v);
    }
    if (const auto* v = object.if_contains("count")) {
      out.count = boost::json::value_to<std::uint64_t>(*v);
    }
    for (const char* name : {"lease", "host"}) {
      if (const auto* v = object.if_contains(name)) {
        out.lease = boost::json::value_to<std::string>(*v);
      }
    }
    return out;
  } catch (const std::exception& error) {
    return failure{failure_kind::kInvalid, error.what()};
  }
}

}  // namespace radishwing::platform_fake
