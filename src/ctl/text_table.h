#pragma once

#include <boost/json/value.hpp>
#include <initializer_list>
#include <ostream>
#include <span>
#include <string>
#include <string_view>

namespace radishwing::ctl {

/// One column: its heading and the member of each row that it shows.
struct table_column {
  std::string_view heading;
  std::string_view field;
};

/// Prints a list of JSON objects as a table with aligned columns. Lists and
/// objects in a cell are shown in one line.
void PrintTable(std::ostream& out, const boost::json::value& rows,
                std::span<const table_column> columns);

/// Prints the members of one JSON object, one a line.
void PrintMembers(std::ostream& out, const boost::json::value& object);

}  // namespace radishwing::ctl
