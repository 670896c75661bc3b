#include "src/control/record_swap.h"

#include <memory>
#include <utility>

namespace radishwing::control {
namespace {

// Controls that swap the same record at the same time are few; each attempt
// lets one of them through.
constexpr int kAttempts = 8;

struct swap_run {
  store_port& store;
  record_swap swap;
  int attempts = 0;

  void Saw(const std::optional<stored_value>& value) {
    if (swap.seen && value.has_value()) swap.seen(*value);
  }
};

using run_ptr = std::shared_ptr<swap_run>;
using outcome = kj::Promise<result<stored_value>>;

outcome Write(const run_ptr& run, std::optional<stored_value> current);

// The value contains a change id, so equality proves that it was written.
outcome ReadBack(const run_ptr& run, const std::string& written) {
  return run->store.Get(run->swap.key)
      .then([run, written](result<std::optional<stored_value>> found)
                -> result<stored_value> {
        if (!Ok(found)) {
          return failure{failure_kind::kTimeout, Error(found).message};
        }
        run->Saw(Value(found));
        if (Value(found).has_value() && Value(found)->value == written) {
          return *Value(found);
        }
        return failure{failure_kind::kTimeout, "the effect is unknown"};
      });
}

outcome Write(const run_ptr& run, std::optional<stored_value> current) {
  auto next = run->swap.next(current);
  if (!Ok(next)) return result<stored_value>(Error(next));
  if (++run->attempts > kAttempts) {
    return result<stored_value>(
        failure{failure_kind::kConflict, "too many concurrent changes"});
  }
  std::uint64_t expect = current.has_value() ? current->version : 0;
  std::string value = Value(next);
  return run->store.Put(run->swap.key, value, expect, "")
      .then([run, value](result<put_answer> answer) -> outcome {
        if (!Ok(answer)) {
          if (Error(answer).kind != failure_kind::kTimeout) {
            return result<stored_value>(Error(answer));
          }
          return ReadBack(run, value);
        }
        const stored_value& held = Value(answer).current;
        if (Value(answer).written) {
          stored_value stored{run->swap.key, value, held.version, false};
          run->Saw(stored);
          return result<stored_value>(stored);
        }
        std::optional<stored_value> newest;
        if (held.version != 0) newest = held;
        run->Saw(newest);
        return Write(run, std::move(newest));
      });
}

}  // namespace

kj::Promise<result<stored_value>> SwapRecord(store_port& store,
                                             record_swap swap) {
  auto run = std::make_shared<swap_run>(swap_run{store, std::move(swap)});
  return run->store.Get(run->swap.key)
      .then([run](result<std::optional<stored_value>> found) -> outcome {
        if (!Ok(found)) return result<stored_value>(Error(found));
        run->Saw(Value(found));
        return Write(run, Value(found));
      });
}

}  // namespace radishwing::control
