#pragma once

#include <boost/json/value.hpp>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

#include "src/base/clock.h"
#include "src/base/finding.h"
#include "src/ctl/exit_code.h"
#include "src/ctl/operator_client.h"

namespace radishwing::ctl {

enum class output_format { kTable, kJson };

/// Whether a command carries out its change or only shows it.
enum class run_mode { kApply, kDryRun };

/// What every command works with. The hooks let tests run commands without a
/// network and without waiting.
struct command_context {
  operator_client* client = nullptr;
  std::ostream* out = nullptr;
  std::ostream* err = nullptr;
  output_format format = output_format::kTable;
  run_mode mode = run_mode::kApply;
  std::string author;
  std::function<std::string()> make_change_id;
  std::function<void(millis)> sleep;
  clock now = clock::Monotonic();
  /// How long `settings apply` waits until every member has confirmed.
  millis confirm_wait_ms = 30'000;
  /// How long a lost answer is looked for.
  millis lost_answer_wait_ms = 15'000;
};

/// Prints a failure and returns its exit code.
exit_code Fail(const command_context& context, const failure& error);

/// Prints findings, one a line, and returns kFindings.
exit_code FailWithFindings(const command_context& context,
                           const std::vector<finding>& findings);

/// Prints `value` as indented JSON.
void PrintJson(std::ostream& out, const boost::json::value& value);

/// `text` with control characters replaced by `?`, so that a value from the
/// network cannot control the terminal. Line ends and tabs stay.
std::string Printable(std::string_view text);

}  // namespace radishwing::ctl
