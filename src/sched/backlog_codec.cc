#include "src/sched/backlog_codec.h"

#include <boost/json.hpp>
#include <cmath>
#include <cstdint>
#include <limits>
#include <span>

#include "src/base/json_fields.h"

namespace radishwing::sched {
namespace json = boost::json;
namespace {

constexpr auto kMaxAmount = static_cast<double>(kMaxBacklogAmount);
// Factor of weights and ratios, which are encoded as whole numbers.
constexpr double kFraction = 1000;
constexpr std::size_t kTeamFieldCount = 11;
constexpr std::size_t kQueueFieldCount = 3;
constexpr std::size_t kArrivalFieldCount = 2;
constexpr std::size_t kRefusedFieldCount = 5;

/// Reads the fields of a row, which is an array, one after another.
class row_reader {
 public:
  row_reader(const json::value& value, std::size_t field_count) {
    const json::array* row = value.if_array();
    if (row && row->size() == field_count) row_ = row;
  }

  std::string Text() {
    const json::value* field = Next();
    const json::string* text = field ? field->if_string() : nullptr;
    if (!text) return Reject<std::string>();
    return {text->begin(), text->end()};
  }
  int Priority() {
    return static_cast<int>(Amount(std::numeric_limits<int>::min(),
                                   std::numeric_limits<int>::max()));
  }
  double Amount(double minimum = 0, double maximum = kMaxAmount) {
    const json::value* field = Next();
    boost::system::error_code error;
    const double amount = field ? field->to_number<double>(error) : 0;
    if (!field || error || amount < minimum || amount > maximum) {
      return Reject<double>();
    }
    return amount;
  }
  /// Reads an array of at most as many amounts as `amounts` has.
  void Amounts(std::span<double> amounts) {
    const json::value* field = Next();
    const json::array* values = field ? field->if_array() : nullptr;
    if (!values || values->size() > amounts.size()) {
      Reject<double>();
      return;
    }
    const json::value copy(*values);
    row_reader nested(copy, values->size());
    for (std::size_t i = 0; i < values->size(); ++i) {
      amounts[i] = nested.Amount();
    }
    if (!nested.Valid()) Reject<double>();
  }
  bool Valid() const { return row_ != nullptr; }

 private:
  const json::value* Next() { return row_ ? &(*row_)[next_++] : nullptr; }
  template <typename T>
  T Reject() {
    row_ = nullptr;
    return T{};
  }

  const json::array* row_ = nullptr;  ///< Null once a field was rejected.
  std::size_t next_ = 0;
};

// Leaves out the ranges without work at the end.
json::array EncodeFeasible(const team_backlog& team) {
  json::array amounts;
  for (const double core_ms : team.feasible_core_ms) {
    amounts.push_back(RoundedAmount(core_ms));
  }
  while (!amounts.empty() && amounts.back() == 0) amounts.pop_back();
  return amounts;
}

json::object EncodePool(const pool_backlog& pool) {
  json::array teams;
  for (const team_backlog& team : pool.teams) {
    teams.push_back(json::array{
        team.claim.team, team.claim.priority,
        RoundedAmount(team.weight * kFraction, -kMaxAmount),
        RoundedAmount(team.used_millicores),
        RoundedAmount(team.waiting_millicores), EncodeFeasible(team),
        RoundedAmount(team.late_core_ms), RoundedAmount(team.blocked_core_ms),
        RoundedAmount(team.returning_core_ms), RoundedAmount(team.due_core_ms),
        RoundedAmount(team.limit_millicores, -1)});
  }
  json::array arrivals;
  for (const capacity_arrival& arrival : pool.arrivals) {
    arrivals.push_back(
        json::array{RoundedAmount(static_cast<double>(arrival.in_ms)),
                    RoundedAmount(arrival.millicores)});
  }
  json::array queues;
  for (const queue_run_times& queue : pool.queues) {
    queues.push_back(json::array{queue.queue,
                                 RoundedAmount(queue.mean_ratio * kFraction),
                                 RoundedAmount(queue.spread * kFraction)});
  }
  return {{"pool", pool.pool},
          {"capacity",
           json::array{
               RoundedAmount(static_cast<double>(pool.capacity.cpu_millicores)),
               RoundedAmount(static_cast<double>(pool.capacity.memory_mb)),
               RoundedAmount(static_cast<double>(pool.capacity.accelerators))}},
          {"room", RoundedAmount(pool.room_millicores)},
          {"arrivals", std::move(arrivals)},
          {"teams", std::move(teams)},
          {"queues", std::move(queues)}};
}

bool DecodeTeam(const json::value& value, pool_backlog& pool) {
  row_reader row(value, kTeamFieldCount);
  team_backlog team;
  team.claim.team = row.Text();
  team.claim.priority = row.Priority();
  team.weight = row.Amount(-kMaxAmount) / kFraction;
  team.used_millicores = row.Amount();
  team.waiting_millicores = row.Amount();
  row.Amounts(team.feasible_core_ms);
  team.late_core_ms = row.Amount();
  team.blocked_core_ms = row.Amount();
  team.returning_core_ms = row.Amount();
  team.due_core_ms = row.Amount();
  team.limit_millicores = row.Amount(-1);
  pool.teams.push_back(std::move(team));
  return row.Valid();
}

bool DecodeQueue(const json::value& value, pool_backlog& pool) {
  row_reader row(value, kQueueFieldCount);
  queue_run_times queue;
  queue.queue = row.Text();
  queue.mean_ratio = row.Amount() / kFraction;
  queue.spread = row.Amount() / kFraction;
  pool.queues.push_back(std::move(queue));
  return row.Valid();
}

bool DecodeArrival(const json::value& value, pool_backlog& pool) {
  row_reader row(value, kArrivalFieldCount);
  capacity_arrival arrival;
  arrival.in_ms = static_cast<millis>(row.Amount());
  arrival.millicores = row.Amount();
  pool.arrivals.push_back(arrival);
  return row.Valid();
}

bool DecodePool(const json::value& value, backlog_summary& summary) {
  if (!value.is_object()) return false;
  json_fields fields("pool backlog", value.get_object());
  pool_backlog pool;
  pool.pool = fields.String("pool");
  const json::value capacity(fields.Array("capacity"));
  row_reader amounts(capacity, 3);
  pool.capacity.cpu_millicores = static_cast<std::int64_t>(amounts.Amount());
  pool.capacity.memory_mb = static_cast<std::int64_t>(amounts.Amount());
  pool.capacity.accelerators = static_cast<std::int64_t>(amounts.Amount());
  pool.room_millicores = static_cast<double>(fields.Signed("room"));
  bool valid = amounts.Valid() && pool.room_millicores >= 0;
  for (const json::value& arrival : fields.Array("arrivals")) {
    valid = valid && DecodeArrival(arrival, pool);
  }
  for (const json::value& team : fields.Array("teams")) {
    valid = valid && DecodeTeam(team, pool);
  }
  for (const json::value& queue : fields.Array("queues")) {
    valid = valid && DecodeQueue(queue, pool);
  }
  summary.pools.push_back(std::move(pool));
  return valid && fields.Valid();
}

}  // namespace

std::string EncodeBacklog(const backlog_summary& summary) {
  json::array pools;
  for (const pool_backlog& pool : summary.pools) {
    pools.push_back(EncodePool(pool));
  }
  return json::serialize(json::object{{"fence", summary.fencing_token},
                                      {"sequence", summary.sequence},
                                      {"revision", summary.store_revision},
                                      {"age_ms", summary.age_ms},
                                      {"nodes", summary.nodes},
                                      {"complete", summary.complete},
                                      {"pools", std::move(pools)}});
}

result<backlog_summary> DecodeBacklog(std::string_view text) {
  auto parsed = json_fields::Parse("backlog", text);
  if (!Ok(parsed)) return Error(parsed);
  json_fields& fields = Value(parsed);
  backlog_summary summary;
  summary.fencing_token = fields.Unsigned("fence");
  summary.sequence = fields.Unsigned("sequence");
  summary.store_revision = fields.Unsigned("revision");
  summary.age_ms = fields.Signed("age_ms");
  summary.nodes = fields.Unsigned("nodes");
  summary.complete = fields.Bool("complete");
  if (summary.age_ms < 0) fields.Reject("age_ms");
  for (const json::value& pool : fields.Array("pools")) {
    if (!DecodePool(pool, summary)) fields.Reject("pools");
  }
  if (!fields.Valid()) return fields.Failure();
  return summary;
}

std::string EncodeRefusedWork(std::span<const returning_work> refused) {
  json::array rows;
  for (const returning_work& work : refused) {
    rows.push_back(
        json::array{work.pool, work.claim.team, work.claim.priority,
                    RoundedAmount(work.core_ms),
                    RoundedAmount(static_cast<double>(work.due_in_ms))});
  }
  return json::serialize(json::object{{"refused", std::move(rows)}});
}

result<std::vector<returning_work>> DecodeRefusedWork(std::string_view text) {
  auto parsed = json_fields::Parse("refused work", text);
  if (!Ok(parsed)) return Error(parsed);
  json_fields& fields = Value(parsed);
  std::vector<returning_work> refused;
  for (const json::value& value : fields.Array("refused")) {
    row_reader row(value, kRefusedFieldCount);
    returning_work work;
    work.pool = row.Text();
    work.claim.team = row.Text();
    work.claim.priority = row.Priority();
    work.core_ms = row.Amount();
    work.due_in_ms = static_cast<millis>(row.Amount());
    if (!row.Valid()) fields.Reject("refused");
    refused.push_back(std::move(work));
  }
  if (!fields.Valid()) return fields.Failure();
  return refused;
}

}  // namespace radishwing::sched
