#pragma once

#include <boost/json/object.hpp>
#include <cstdint>
#include <string>

namespace radishwing::ctl {

/// The settings as the fleet has them.
struct settings_record {
  std::uint64_t revision = 0;
  std::string change_id;
  std::string author;
  std::string text;
};

/// A change of the settings that an operator wants.
struct settings_change {
  std::string file;  ///< Shown in findings.
  std::uint64_t base_revision = 0;
  std::string base_text;
  std::string text;
  /// Shown together with the outcome if the change is, or may be, applied.
  boost::json::object shown;
};

}  // namespace radishwing::ctl
