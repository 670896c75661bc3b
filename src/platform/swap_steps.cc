#include "src/platform/swap_steps.h"

#include <boost/json/value_to.hpp>
#include <utility>

#include "src/http/target.h"
#include "src/platform/change_id.h"
#include "src/platform/json_access.h"

namespace radishwing::platform {
namespace {

using boost::beast::http::verb;

std::string KeyTarget(const std::string& key) {
  return "/v1/kv/" + http::EscapePath(key);
}

// The record that a conflict or a read shows. A broken answer gives version 0.
kv_item ItemOf(const std::string& key, const boost::json::value& body) {
  kv_item item;
  item.key = key;
  if (!body.is_object()) return item;
  const auto* value = body.as_object().if_contains("value");
  const auto* version = body.as_object().if_contains("version");
  if (value && value->is_string()) item.value = value->as_string();
  if (version && version->is_number()) {
    item.version = version->to_number<std::uint64_t>();
  }
  return item;
}

// Settles what every kind of write settles alike; nothing if the effect is
// unknown or the answer is a conflict.
std::optional<swap_outcome> JudgeWrite(const result<platform_answer>& answer,
                                       bool in_doubt) {
  const auto version =
      ReadAnswer<std::uint64_t>(answer, [](const boost::json::value& body) {
        return boost::json::value_to<std::uint64_t>(body.at("version"));
      });
  if (Ok(version)) {
    return swap_outcome{swap_state::kDone, Value(version), {}, {}};
  }
  const failure& f = Error(version);
  if (f.kind == failure_kind::kConflict) return std::nullopt;
  if (NothingDone(f) && !in_doubt) {
    return swap_outcome{swap_state::kNotDone, 0, {}, f.message};
  }
  // The store will never take this write, but an earlier attempt may have been
  // in effect.
  if (f.kind == failure_kind::kNotFound || f.kind == failure_kind::kInvalid) {
    return swap_outcome{swap_state::kUnknown, 0, {}, f.message};
  }
  return std::nullopt;
}

swap_outcome Superseded(kv_item current) {
  return {swap_state::kUnknown, 0, std::move(current),
          "the answer was lost and the record has changed since"};
}

bool IsConflict(const result<platform_answer>& answer) {
  return Ok(answer) && Value(answer).status == 409;
}

swap_outcome StillUnknown() {
  return {swap_state::kUnknown,
          0,
          {},
          "the answer was lost and the store is out of reach"};
}

struct swap_context {
  kv_swap swap;
  std::string change_id;

  bool IsOurs(const kv_item& item) const {
    return !change_id.empty() && ChangeIdOf(item.value) == change_id;
  }

  std::optional<swap_outcome> OnWrite(const result<platform_answer>& answer,
                                      bool in_doubt) const {
    if (!IsConflict(answer)) return JudgeWrite(answer, in_doubt);
    kv_item current = ItemOf(swap.key, Value(answer).body);
    if (IsOurs(current)) {
      return swap_outcome{swap_state::kDone, current.version, {}, {}};
    }
    if (in_doubt) return Superseded(std::move(current));
    return swap_outcome{swap_state::kConflict, 0, std::move(current),
                        "the record has another version"};
  }

  read_back OnRead(const platform_answer& answer, swap_outcome& outcome) const {
    if (answer.status != 200 && answer.status != 404) {
      return read_back::kReadAgain;
    }
    kv_item current =
        answer.status == 200 ? ItemOf(swap.key, answer.body) : kv_item{};
    if (answer.status == 200 && IsOurs(current)) {
      outcome = {swap_state::kDone, current.version, {}, {}};
      return read_back::kSettled;
    }
    // The same write once more: if the earlier attempt is still on its way,
    // only one of them can succeed, and both carry the same change id.
    if (current.version == swap.expect) return read_back::kWriteAgain;
    outcome = Superseded(std::move(current));
    return read_back::kSettled;
  }
};

}  // namespace

resolved_write_steps<swap_outcome> StepsOfSwap(kv_swap swap) {
  std::string change_id = ChangeIdOf(swap.value);
  const auto context = std::make_shared<const swap_context>(
      swap_context{std::move(swap), std::move(change_id)});
  resolved_write_steps<swap_outcome> steps;
  steps.write = [context](platform_link& link,
                          platform_link::completion completion) {
    const kv_swap& s = context->swap;
    std::string target =
        KeyTarget(s.key) + "?expect=" + std::to_string(s.expect);
    if (!s.lease.empty()) target += "&lease=" + http::EscapeQuery(s.lease);
    link.Send(verb::put, std::move(target), s.value, std::move(completion));
  };
  steps.read = [context](platform_link& link,
                         platform_link::completion completion) {
    link.Get(KeyTarget(context->swap.key), std::move(completion));
  };
  steps.on_write = [context](const result<platform_answer>& answer,
                             bool in_doubt) {
    return context->OnWrite(answer, in_doubt);
  };
  steps.on_read = [context](const platform_answer& answer,
                            swap_outcome& outcome) {
    return context->OnRead(answer, outcome);
  };
  steps.unknown = StillUnknown;
  return steps;
}

resolved_write_steps<swap_outcome> StepsOfDelete(std::string key,
                                                 std::uint64_t expect) {
  resolved_write_steps<swap_outcome> steps;
  steps.write = [key, expect](platform_link& link,
                              platform_link::completion completion) {
    link.Send(verb::delete_,
              KeyTarget(key) + "?expect=" + std::to_string(expect), "",
              std::move(completion));
  };
  steps.read = [key](platform_link& link,
                     platform_link::completion completion) {
    link.Get(KeyTarget(key), std::move(completion));
  };
  steps.on_write = [key](const result<platform_answer>& answer,
                         bool in_doubt) -> std::optional<swap_outcome> {
    if (!IsConflict(answer)) return JudgeWrite(answer, in_doubt);
    kv_item current = ItemOf(key, Value(answer).body);
    if (current.version == 0) return swap_outcome{swap_state::kDone, 0, {}, {}};
    return swap_outcome{swap_state::kConflict, 0, std::move(current),
                        "the record has another version"};
  };
  steps.on_read = [key, expect](const platform_answer& answer,
                                swap_outcome& outcome) {
    if (answer.status == 404) {
      outcome.state = swap_state::kDone;
      return read_back::kSettled;
    }
    if (answer.status != 200) return read_back::kReadAgain;
    kv_item current = ItemOf(key, answer.body);
    if (current.version == expect) return read_back::kWriteAgain;
    outcome = {swap_state::kConflict, 0, std::move(current),
               "the record has another version"};
    return read_back::kSettled;
  };
  steps.unknown = StillUnknown;
  return steps;
}

}  // namespace radishwing::platform
