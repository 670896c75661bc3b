#include <utility>

#include "src/base/log.h"
#include "src/control/host_duty.h"
#include "src/control/record_swap.h"
#include "src/maintenance/host_transitions.h"
#include "src/platform/change_id.h"

namespace radishwing::control {

using maintenance::host_record;
using maintenance::host_state;
using outcome = kj::Promise<result<done>>;

outcome host_duty::Maintain(const host_record& record) {
  const millis started = clock_.Now();
  const host_steps::change begin = [](const host_record& held) {
    return held.state == host_state::kEmpty
               ? BeginMaintenance(held, platform::NewChangeId())
               : host_steps::Touch(held);
  };
  return steps_.Write(record, begin)
      .then([this, record, started](result<done> written) -> outcome {
        if (!Ok(written)) return written;
        // Another control orders the reboot after `reboot_retry_ms`, and the
        // host may serve again soon after that.
        if (clock_.Now() - started > options_.timing.put_deadline_ms) {
          return result<done>(
              failure{failure_kind::kTimeout, "too late to reboot safely"});
        }
        return store_.RebootHost(record.host);
      });
}

outcome host_duty::Return(const host_facts& facts) {
  const host_record& record = facts.record;
  std::string wave;
  if (record.reason.starts_with(kWaveReason) &&
      record.state != host_state::kFailed) {
    wave = record.reason.substr(kWaveReason.size());
  }
  return steps_.Activate(record, [wave](const host_record& held) {
    return ReturnHost(held, wave, platform::NewChangeId());
  });
}

void host_duty::AddHostStep(tasks& list, const host_facts& facts) {
  const host_record& record = facts.record;
  const std::string& host = record.host;
  auto add = [&](const char* what, work run) {
    list.push_back({what, host, std::move(run)});
  };
  switch (NextHostStep(facts, options_.timing.host_absent_ms,
                       options_.timing.reboot_retry_ms)) {
    case host_step::kNone:
      return;
    case host_step::kFail:
      return add("host failed", [=, this] { return steps_.Fail(record); });
    case host_step::kRelease:
      return add("unused stop released", [=, this] {
        return steps_.Activate(record, host_steps::Touch);
      });
    case host_step::kMarkEmpty:
      return add("host empty", [=, this] {
        return steps_.Write(record, [](const host_record& held) {
          return MarkEmpty(held, platform::NewChangeId());
        });
      });
    case host_step::kCancel:
      return add("drain cancelled", [=, this] {
        return steps_.Activate(record, [](const host_record& held) {
          return CancelDrain(held, platform::NewChangeId());
        });
      });
    case host_step::kDrainPlatform:
      return add("platform drain ordered",
                 [=, this] { return store_.DrainHost(host); });
    case host_step::kMaintain:
    case host_step::kReboot:
      return add("reboot ordered", [=, this] { return Maintain(record); });
    case host_step::kReturn:
      return add("host returned", [=, this] { return Return(facts); });
  }
}

void host_duty::AddOrder(tasks& list, const host_facts& facts) {
  const host_record& record = facts.record;
  auto held = board_.Order(record.host);
  if (!held || !held->waiting) return;
  const host_order order = held->order;
  auto add = [&](const char* what, work run) {
    list.push_back({what, record.host, std::move(run)});
  };
  switch (NextOrderStep(facts, order)) {
    case order_step::kWait:
      return;
    case order_step::kDone:
      return add("order done", [=, this] { return FinishOrder(*held); });
    case order_step::kDrain:
      if (!MayStop()) return;
      return add("order started", [=, this] {
        const bool moves = order.action == host_order::verb::kMove;
        return steps_.Drain(record,
                            std::string(moves ? kMoveReason : kOperatorReason),
                            moves ? order.pool : "");
      });
    case order_step::kRetarget:
      if (!MayStop()) return;
      return add("drain turned into a move", [=, this] {
        return steps_.Write(record, [order](const host_record& stopped) {
          auto next = host_steps::Touch(stopped);
          Value(next).reason = kMoveReason;
          Value(next).next_pool = order.pool;
          return next;
        });
      });
    case order_step::kUndrain:
      return add("platform drain taken back",
                 [=, this] { return store_.UndrainHost(record.host); });
    case order_step::kCancel:
      return add("host returned by order", [=, this] {
        return steps_.Activate(record, [](const host_record& stopped) {
          return CancelDrain(stopped, platform::NewChangeId());
        });
      });
  }
}

outcome host_duty::FinishOrder(const order_record& order) {
  record_swap swap;
  swap.key = OrderKey(options_.data_centre, order.order.host);
  swap.seen = [this](const stored_value& item) {
    board_.Orders().Observe(item);
  };
  swap.next =
      [order](
          const std::optional<stored_value>& current) -> result<std::string> {
    if (!current) return failure{failure_kind::kNotFound, "no order"};
    auto held = ParseOrderRecord(current->value);
    if (!Ok(held)) return Error(held);
    if (Value(held).order.change_id != order.order.change_id) {
      return failure{failure_kind::kConflict, "a newer order came"};
    }
    Value(held).waiting = false;
    return FormatOrderRecord(Value(held));
  };
  return SwapRecord(store_, std::move(swap))
      .then([](result<stored_value> swapped) -> result<done> {
        if (!Ok(swapped)) return Error(swapped);
        return done{};
      });
}

void host_duty::AddPlans(tasks& list) {
  for (const auto& plan : plans) {
    for (const planned_drain& wanted : plan()) {
      const host_record* record = board_.Record(wanted.host);
      if (record == nullptr || record->state != host_state::kActive ||
          record->data_centre != options_.data_centre ||
          Has(list, wanted.host)) {
        continue;
      }
      list.push_back({"drain started, reason=" + wanted.reason, wanted.host,
                      [=, this, record = *record] {
                        return steps_.Drain(record, wanted.reason,
                                            wanted.next_pool);
                      }});
    }
  }
}

}  // namespace radishwing::control
