#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace radishwing::report {

/// Main function of radishwing-report; `arguments` exclude the program name.
/// Returns the exit code: 0 success; 2 wrong arguments or a file that cannot be
/// read or written; 3 invalid settings; 4 some nodes' metrics or some records
/// could not be read; 8 no node's metrics could be read.
int RunReport(const std::vector<std::string>& arguments, std::ostream& out,
              std::ostream& err);

}  // namespace radishwing::report
