#include "src/ctl/text_table.h"

#include <algorithm>
#include <boost/json/serialize.hpp>
#include <vector>

#include "src/ctl/command_context.h"
#include "src/ctl/json_field.h"

namespace radishwing::ctl {
namespace {

/// Formats a value on a single line; null and empty values as "-".
std::string CellText(const boost::json::value* value) {
  if (!value || value->is_null()) return "-";
  std::string text;
  if (value->is_string()) {
    text = std::string(value->get_string());
  } else if (value->is_array()) {
    for (const boost::json::value& item : value->get_array()) {
      text += (text.empty() ? "" : ", ") + CellText(&item);
    }
  } else if (value->is_object()) {
    for (const auto& member : value->get_object()) {
      text += (text.empty() ? "" : ", ") + std::string(member.key()) + "=" +
              CellText(&member.value());
    }
  } else {
    text = boost::json::serialize(*value);
  }
  return text.empty() ? "-" : SanitizeForTerminal(text);
}

}  // namespace

void PrintTable(std::ostream& out, const boost::json::value& rows,
                std::span<const table_column> columns) {
  std::vector<std::vector<std::string>> lines(1);
  for (const table_column& column : columns) {
    lines[0].emplace_back(column.heading);
  }
  if (rows.is_array()) {
    for (const boost::json::value& row : rows.get_array()) {
      std::vector<std::string>& line = lines.emplace_back();
      for (const table_column& column : columns) {
        line.push_back(CellText(FindField(row, column.row_member)));
      }
    }
  }
  std::vector<std::size_t> widths(columns.size());
  for (const auto& line : lines) {
    for (std::size_t i = 0; i < line.size(); ++i) {
      widths[i] = std::max(widths[i], line[i].size());
    }
  }
  for (const auto& line : lines) {
    std::string text;
    for (std::size_t i = 0; i < line.size(); ++i) {
      text += line[i] + std::string(widths[i] - line[i].size() + 2, ' ');
    }
    text.erase(text.find_last_not_of(' ') + 1);
    out << text << '\n';
  }
}

void PrintObject(std::ostream& out, const boost::json::value& object) {
  if (!object.is_object()) return;
  std::size_t width = 0;
  for (const auto& member : object.get_object()) {
    width = std::max(width, member.key().size());
  }
  for (const auto& member : object.get_object()) {
    const std::string name(member.key());
    out << SanitizeForTerminal(name)
        << std::string(width - name.size() + 2, ' ')
        << CellText(&member.value()) << '\n';
  }
}

}  // namespace radishwing::ctl
