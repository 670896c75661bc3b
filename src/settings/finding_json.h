#pragma once

#include <boost/json/value.hpp>
#include <vector>

#include "src/base/finding.h"

namespace radishwing::settings {

/// Findings as a list of objects `file`, `line`, `column`, `path`, `found`,
/// `allowed`.
boost::json::value FindingsToJson(const std::vector<finding>& findings);

/// The reverse. Absent or ill-typed members stay empty.
std::vector<finding> FindingsFromJson(const boost::json::value& list);

}  // namespace radishwing::settings
