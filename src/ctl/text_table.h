#pragma once

#include <boost/json/value.hpp>
#include <initializer_list>
#include <ostream>
#include <span>
#include <string>
#include <string_view>

namespace radishwing::ctl {

/// A table column: its heading and the row member that it shows.
struct table_column {
  std::string_view heading;
  std::string_view row_member;
};

/// Prints an array of JSON objects as a table with aligned columns. Arrays and
/// objects in a cell are printed on a single line.
void PrintTable(std::ostream& out, const boost::json::value& rows,
                std::span<const table_column> columns);

/// Prints the members of a JSON object, one per line.
void PrintObject(std::ostream& out, const boost::json::value& object);

}  // namespace radishwing::ctl
