#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace radishwing::report {

/// Runs radishwing-report with the given arguments, without the program's
/// name. Returns the exit code: 0 done, 2 wrong usage, 3 settings with
/// findings, 4 some daemons or windows could not be read, 8 nothing could be
/// read.
int RunReport(const std::vector<std::string>& arguments, std::ostream& out,
              std::ostream& err);

}  // namespace radishwing::report
