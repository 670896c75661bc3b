#pragma once

#include <boost/json/value.hpp>
#include <initializer_list>
#include <ostream>
#include <span>
#include <string>
#include <string_view>

namespace radishwing::ctl {

/// A column of a printed table.
struct table_column {
  std::string_view heading;  ///< Text of the column's first line.
  /// Name of the member of each row object whose value the column shows.
  std::string_view row_member;
};

/// Prints a table with one row for each JSON object in the array `rows`. Prints
/// an array or object within a cell on a single line.
void PrintTable(std::ostream& out, const boost::json::value& rows,
                std::span<const table_column> columns);

/// Prints the members of a JSON object, one per line.
void PrintObject(std::ostream& out, const boost::json::value& object);

}  // namespace radishwing::ctl
