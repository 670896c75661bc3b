#include "src/node/job_record_codec.h"

#include <boost/json.hpp>

#include "platform/job_codec.h"
#include "src/base/json_fields.h"

namespace radishwing::node {
namespace json = boost::json;

std::string EncodeJobRecord(const fleet::job_record& record,
                            std::uint64_t leader_fencing_token) {
  json::object fields{
      {"queue", record.queue},
      {"pool", record.pool},
      {"team", record.team},
      {"priority", record.priority},
      {"attempts", record.max_attempts},
      {"stretch_permille", static_cast<std::int64_t>(record.stretch * 1000)},
      {"target_ms", record.target_ms},
      {"ticket_valid_ms", record.ticket_valid_ms},
      {"accepted", record.accepted_unix_ms},
      {"leader", leader_fencing_token},
      {"body", record.body}};
  if (record.cancelled) fields["cancelled"] = true;
  return json::serialize(fields);
}

result<stored_job> DecodeJobRecord(std::string_view id, std::string_view text) {
  auto parsed = json_fields::Parse("job record", text);
  if (!Ok(parsed)) return Error(parsed);
  json_fields& fields = Value(parsed);
  stored_job job;
  fleet::job_record& record = job.record;
  record.id = std::string(id);
  record.queue = fields.String("queue");
  record.pool = fields.String("pool");
  record.team = fields.String("team");
  record.priority = static_cast<int>(fields.Signed("priority"));
  record.max_attempts = static_cast<int>(fields.Signed("attempts"));
  record.stretch =
      static_cast<double>(fields.Signed("stretch_permille")) / 1000;
  record.target_ms = fields.Signed("target_ms");
  record.ticket_valid_ms = fields.Signed("ticket_valid_ms");
  record.accepted_unix_ms = fields.Signed("accepted");
  job.leader_fencing_token = fields.Unsigned("leader");
  record.body = fields.String("body");
  // Nodes of older versions write records without this field.
  if (fields.Contains("cancelled")) record.cancelled = fields.Bool("cancelled");
  if (!fields.Valid()) return fields.Failure();
  auto request = platform::DecodeJob(record.body);
  if (!Ok(request)) return Error(request);
  record.request = std::move(Value(request));
  return job;
}

}  // namespace radishwing::node
