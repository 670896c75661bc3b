#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace radishwing::report {

/// Runs radishwing-report with `arguments`, which exclude the program name.
/// Returns the exit code: 0 success, 2 usage error, 3 invalid settings, 4 some
/// daemons or stored windows could not be read, 8 no daemon could be read.
int RunReport(const std::vector<std::string>& arguments, std::ostream& out,
              std::ostream& err);

}  // namespace radishwing::report
