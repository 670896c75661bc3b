#include "src/control/host_steps.h"

#include <optional>
#include <utility>

#include "src/control/record_swap.h"
#include "src/maintenance/host_transitions.h"
#include "src/maintenance/ledger_transitions.h"
#include "src/platform/change_id.h"

namespace radishwing::control {
namespace {

using maintenance::host_record;
using maintenance::ledger_record;
using outcome = kj::Promise<result<done>>;

result<done> Finished(const result<stored_value>& swapped) {
  if (!Ok(swapped)) return Error(swapped);
  return done{};
}

failure Overtaken(const std::string& host) {
  return {failure_kind::kConflict, "host \"" + host + "\" changed meanwhile"};
}

}  // namespace

host_steps::host_steps(store_port& store, std::string data_centre)
    : store_(store), data_centre_(std::move(data_centre)) {}

outcome host_steps::Create(const host_record& record) {
  record_swap swap;
  swap.key = HostKey(record.host);
  swap.seen = seen_host;
  swap.next =
      [record](
          const std::optional<stored_value>& current) -> result<std::string> {
    if (current) return Overtaken(record.host);
    return FormatHostRecord(record);
  };
  return SwapRecord(store_, std::move(swap)).then([](auto swapped) {
    return Finished(swapped);
  });
}

outcome host_steps::Write(const host_record& record, change next) {
  record_swap swap;
  swap.key = HostKey(record.host);
  swap.seen = seen_host;
  swap.next =
      [record, next = std::move(next)](
          const std::optional<stored_value>& current) -> result<std::string> {
    if (!current) return Overtaken(record.host);
    auto held = maintenance::ParseHostRecord(current->value);
    if (!Ok(held)) return Error(held);
    if (Value(held).epoch != record.epoch) return Overtaken(record.host);
    auto changed = next(Value(held));
    if (!Ok(changed)) return Error(changed);
    return FormatHostRecord(Value(changed));
  };
  return SwapRecord(store_, std::move(swap)).then([](auto swapped) {
    return Finished(swapped);
  });
}

outcome host_steps::SwapLedger(
    const std::string& pool,
    std::function<result<ledger_record>(const ledger_record&)> next) {
  record_swap swap;
  swap.key = LedgerKey(pool);
  swap.seen = seen_ledger;
  swap.next =
      [pool, next = std::move(next)](
          const std::optional<stored_value>& current) -> result<std::string> {
    if (!current) {
      return failure{failure_kind::kNotFound,
                     "pool \"" + pool + "\" has no ledger yet"};
    }
    auto held = maintenance::ParseLedgerRecord(current->value);
    if (!Ok(held)) return Error(held);
    auto changed = next(Value(held));
    if (!Ok(changed)) return Error(changed);
    return FormatLedgerRecord(Value(changed));
  };
  return SwapRecord(store_, std::move(swap)).then([](auto swapped) {
    return Finished(swapped);
  });
}

outcome host_steps::Drain(const host_record& record, const std::string& reason,
                          const std::string& next_pool) {
  const std::string id = platform::NewChangeId();
  return SwapLedger(record.pool,
                    [record, reason, id](const ledger_record& ledger) {
                      return GrantDrain(ledger, record.host, reason, id);
                    })
      .then([=, this](result<done> granted) -> outcome {
        if (!Ok(granted)) return granted;
        return Write(record, [=](const host_record& held) {
          return BeginDrain(held, reason, next_pool, id);
        });
      });
}

outcome host_steps::Fail(const host_record& record) {
  const std::string id = platform::NewChangeId();
  const auto enter = [record, id](const ledger_record& ledger) {
    // A host that is not listed yet is entered as well: a Sync that read its
    // record before the failure would list it as available.
    ledger_record listed = ledger;
    listed.hosts.emplace(record.host, record.rack);
    return EnterFailure(listed, record.host, id);
  };
  return SwapLedger(record.pool, enter)
      .then([=, this](result<done> entered) -> outcome {
        if (!Ok(entered)) return entered;
        return Write(record, [id](const host_record& held) {
          return MarkFailed(held, id);
        });
      });
}

outcome host_steps::Activate(const host_record& record, change next) {
  return store_.Get(LedgerKey(record.pool))
      .then([this, record, next = std::move(next)](
                result<std::optional<stored_value>> read) -> outcome {
        if (!Ok(read)) return result<done>(Error(read));
        auto written = Write(record, next);
        auto planned = next(record);
        const bool stays = Ok(planned) && Value(planned).pool == record.pool;
        if (!Value(read) || !stays) return written;
        return written.then([this, record, read = *Value(read)](
                                result<done> active) -> outcome {
          if (!Ok(active)) return active;
          auto ledger = maintenance::ParseLedgerRecord(read.value);
          if (!Ok(ledger)) return result<done>(Error(ledger));
          auto freed =
              ReleaseHost(Value(ledger), record.host, platform::NewChangeId());
          // It was not entered: nothing to release.
          if (!Ok(freed)) return result<done>(done{});
          return PutLedger(read, Value(freed));
        });
      });
}

outcome host_steps::PutLedger(const stored_value& read,
                              const ledger_record& next) {
  const std::string value = FormatLedgerRecord(next);
  return store_.Put(read.key, value, read.version, "")
      .then([this, key = read.key,
             value](result<put_answer> answer) -> result<done> {
        if (!Ok(answer)) return Error(answer);
        const stored_value& held = Value(answer).current;
        if (!Value(answer).written) {
          if (seen_ledger && held.version != 0) seen_ledger(held);
          return failure{failure_kind::kConflict, key + " changed meanwhile"};
        }
        if (seen_ledger) seen_ledger({key, value, held.version, false});
        return done{};
      });
}

outcome host_steps::Sync(const std::string& pool, std::uint32_t floor) {
  // The order of the reads matters: a host that drains between them has
  // changed the ledger, so that the write fails.
  return store_.Get(LedgerKey(pool))
      .then([=, this](result<std::optional<stored_value>> read) -> outcome {
        if (!Ok(read)) return result<done>(Error(read));
        ledger_record ledger;
        ledger.pool = pool;
        stored_value held{LedgerKey(pool), "", 0, false};
        if (Value(read)) {
          held = *Value(read);
          auto parsed = maintenance::ParseLedgerRecord(held.value);
          if (!Ok(parsed)) return result<done>(Error(parsed));
          ledger = Value(parsed);
        }
        return store_.List(HostKey(""))
            .then([=, this](result<stored_values> list) -> outcome {
              if (!Ok(list)) return result<done>(Error(list));
              host_records records;
              for (const auto& item : Value(list).items) {
                auto record = maintenance::ParseHostRecord(item.value);
                if (Ok(record)) records[Value(record).host] = Value(record);
              }
              auto next = SyncedLedger(ledger, records, floor);
              if (!next && held.version != 0) return result<done>(done{});
              if (!next) next = ledger;
              next->change_id = platform::NewChangeId();
              return PutLedger(held, *next);
            });
      });
}

result<host_record> host_steps::Touch(const host_record& record) {
  host_record next = record;
  ++next.epoch;
  next.change_id = platform::NewChangeId();
  return next;
}

}  // namespace radishwing::control
