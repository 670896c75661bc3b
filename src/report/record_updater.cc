#include "src/report/record_updater.h"

namespace radishwing::report {
namespace {

result<windowed_counters> ReadRecordOrEmpty(const record_store& store,
                                            const std::string& name,
                                            std::uint64_t& version) {
  result<stored_record> stored = store.read(name);
  if (!Ok(stored)) return Error(stored);
  version = Value(stored).version;
  if (version == 0) return windowed_counters();
  return windowed_counters::Decode(Value(stored).text);
}

}  // namespace

result<windowed_counters> AddScrapeToRecord(
    const record_store& store, const std::string& name, millis now,
    const counters_by_process& counters) {
  failure last_error;
  for (int attempt = 0; attempt < kMaxUpdateAttempts; ++attempt) {
    std::uint64_t version = 0;
    result<windowed_counters> record = ReadRecordOrEmpty(store, name, version);
    if (!Ok(record)) return Error(record);
    Value(record).AddScrape(now, counters);
    result<std::string> text = Value(record).Encode();
    if (!Ok(text)) return Error(text);
    result<success> written = store.write(name, Value(text), version);
    if (Ok(written)) return record;
    last_error = Error(written);
    if (last_error.kind != failure_kind::kConflict &&
        last_error.kind != failure_kind::kTimeout) {
      return last_error;
    }
  }
  return last_error;
}

}  // namespace radishwing::report
