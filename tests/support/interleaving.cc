#include "tests/support/interleaving.h"

#include <rapidcheck.h>

#include <sstream>

namespace radishwing::test {
namespace {

constexpr int kMaxShrinkAttempts = 5000;

}  // namespace

std::size_t choices::Below(std::size_t bound) {
  if (bound == 0 || !Left()) return 0;
  return values_[next_++] % bound;
}

std::string CheckInterleavings(
    const interleaving_plan& plan,
    const std::function<std::string(choices& choices)>& body) {
  rc::detail::TestParams params;
  params.seed = plan.seed;
  params.maxSuccess = plan.runs;
  // RapidCheck shrinks without a bound. Once the attempts are used up, every
  // further candidate passes, which ends the search with the shortest so far.
  int shrink_attempts = 0;
  const auto property = [&plan, &body, &shrink_attempts] {
    if (shrink_attempts > kMaxShrinkAttempts) return;
    const auto values = *rc::gen::container<std::vector<std::uint32_t>>(
        plan.length, rc::gen::inRange<std::uint32_t>(0, 1u << 30));
    choices source(values);
    const std::string broken = body(source);
    if (!broken.empty() || shrink_attempts > 0) ++shrink_attempts;
    if (!broken.empty()) RC_FAIL(broken);
  };
  const rc::detail::TestResult result =
      rc::detail::checkTestable(property, rc::detail::TestMetadata(), params);
  rc::detail::SuccessResult success;
  if (result.match(success)) return {};
  std::ostringstream report;
  rc::detail::printResultMessage(result, report);
  return report.str();
}

}  // namespace radishwing::test
