#include "src/settings/schema_page.h"

#include <array>
#include <charconv>

#include "src/settings/fleet_schema.h"
#include "src/settings/json_document.h"
#include "src/settings/preset.h"

namespace radishwing::settings {
namespace {

constexpr std::string_view kIntroduction =
    R"(# Settings

This page is generated from the schema in `src/settings/` by
`radishwingctl settings schema`; a test compares it with the schema.

Settings are JSON (RFC 8259) with `//` and `/* */` comments, at most 1,000,000
bytes and 16 levels of nesting. The store holds the fleet settings as a JSON
string, which may have at most 999,000 bytes. Names are 1 to 64 characters of
`A-Z a-z 0-9 . _ -`. `<name>` stands for any name and `[]` for each element
of an array.

## Fleet settings

One settings file covers the whole fleet. `radishwingctl settings check <file>`
reports every finding with its line and column.
)";

// Returns the section title for a path pattern, such as `teams.<name>.keys[]`
// for `teams.*.keys[]`.
std::string MakeSectionTitle(std::string_view parent) {
  std::string title;
  for (char c : parent) {
    if (c == '*') {
      title += "<name>";
    } else {
      title += c;
    }
  }
  return title;
}

void AppendTableRow(std::string& page, const field_schema& field) {
  std::string default_text = "none";
  if (field.required) default_text = "required";
  if (field.default_value == "preset") default_text = "by preset";
  if (!field.default_value.empty() && default_text == "none") {
    default_text = "`" + std::string(field.default_value) + "`";
  }
  page.append("| `").append(field.name).append("` | ");
  page.append(DescribeAllowedValues(field)).append(" | ");
  page.append(field.unit).append(field.unit.empty() ? "| " : " | ");
  page.append(default_text).append(" | ").append(field.doc).append(" |\n");
}

void AppendTable(std::string& page, std::span<const field_schema> schema,
                 std::string_view parent) {
  page += "\n| name | allowed | unit | default | meaning |\n";
  page += "| --- | --- | --- | --- | --- |\n";
  for (const field_schema& field : schema) {
    if (field.parent == parent) AppendTableRow(page, field);
  }
}

std::string FormatNumber(double value) {
  std::array<char, 32> buffer;
  auto end = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value);
  return std::string(buffer.data(), end.ptr);
}

void AppendPresets(std::string& page) {
  page += "\n### Presets\n";
  for (const preset& p : Presets()) {
    page.append("\n`").append(p.name).append("`: ").append(p.doc);
    page +=
        " weight_rollout_time " + FormatNumber(p.policy.weight_rollout_time);
    page += ", weight_share_nearness " +
            FormatNumber(p.policy.weight_share_nearness);
    page += ", weight_buffer_cost " + FormatNumber(p.policy.weight_buffer_cost);
    page += ", weight_moves " + FormatNumber(p.policy.weight_moves);
    page += ", move_budget_per_hour " +
            std::to_string(p.policy.move_budget_per_hour);
    page += ", move_hysteresis_seconds " +
            std::to_string(p.policy.move_hysteresis_seconds) + ".\n";
  }
}

}  // namespace

std::string RenderSchemaPage() {
  std::string page(kIntroduction);
  std::string_view parent;
  AppendTable(page, FleetSchema(), parent);
  for (const field_schema& field : FleetSchema()) {
    if (field.parent == parent) continue;
    parent = field.parent;
    page += "\n### `" + MakeSectionTitle(parent) + "`\n";
    AppendTable(page, FleetSchema(), parent);
  }
  AppendPresets(page);
  return page;
}

}  // namespace radishwing::settings
