#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <vector>

#include "src/base/json_fields.h"
#include "src/report/windowed_counters.h"

namespace radishwing::report {
namespace {

/// Table of series names. A series appears in many buckets, so the JSON lists
/// each series name once and refers to the name by its index.
class series_name_table {
 public:
  series_name_table() = default;
  explicit series_name_table(const boost::json::array& names) {
    for (const boost::json::value& name : names) {
      names_.push_back(name.is_string() ? std::string(name.get_string())
                                        : std::string());
    }
  }

  /// Returns `values` as a flat array of name indexes and values, adding new
  /// names to the table.
  boost::json::array Encode(const counter_values& values) {
    boost::json::array flat;
    for (const auto& [series, value] : values) {
      const auto [position, added] = indexes_.emplace(series, names_.size());
      if (added) names_.push_back(series);
      flat.push_back(position->second);
      flat.push_back(value);
    }
    return flat;
  }

  /// Parses an array returned by Encode() into `values`. Returns false if the
  /// array is malformed.
  bool Decode(const boost::json::value& value, counter_values& values) const {
    const boost::json::array* flat = value.if_array();
    if (!flat || flat->size() % 2 != 0) return false;
    for (std::size_t i = 0; i < flat->size(); i += 2) {
      boost::json::error_code index_error;
      boost::json::error_code value_error;
      const auto index = (*flat)[i].to_number<std::size_t>(index_error);
      const auto count = (*flat)[i + 1].to_number<std::uint64_t>(value_error);
      if (index_error || value_error || index >= names_.size()) return false;
      values[names_[index]] = count;
    }
    return true;
  }

  boost::json::array Names() const {
    return boost::json::array(names_.begin(), names_.end());
  }

 private:
  /// Index in names_ of each name added by Encode().
  std::map<std::string, std::size_t, std::less<>> indexes_;
  std::vector<std::string> names_;  ///< Series names in the order of the JSON.
};

}  // namespace

result<std::string> windowed_counters::Encode() const {
  series_name_table series_names;
  boost::json::object processes;
  for (const auto& [name, known] : processes_) {
    processes[name] = {{"seen_ms", known.last_seen_ms},
                       {"values", series_names.Encode(known.values)}};
  }
  boost::json::array tiers;
  for (const auto& buckets : buckets_) {
    boost::json::array window;
    for (const auto& [start, values] : buckets) {
      window.push_back(
          {{"start_ms", start}, {"values", series_names.Encode(values)}});
    }
    tiers.push_back(std::move(window));
  }
  const boost::json::object record = {{"first_ms", first_scrape_ms_},
                                      {"last_ms", last_scrape_ms_},
                                      {"series", series_names.Names()},
                                      {"processes", std::move(processes)},
                                      {"tiers", std::move(tiers)}};
  std::string text = boost::json::serialize(record);
  if (text.size() > kMaxTextBytes) {
    return failure{failure_kind::kFull,
                   "burn record of " + std::to_string(text.size()) +
                       " bytes exceeds " + std::to_string(kMaxTextBytes)};
  }
  return text;
}

result<windowed_counters> windowed_counters::Decode(std::string_view text) {
  result<json_fields> parsed = json_fields::Parse("burn record", text);
  if (!Ok(parsed)) return Error(parsed);
  json_fields& fields = Value(parsed);
  windowed_counters record;
  record.first_scrape_ms_ = fields.Signed("first_ms");
  record.last_scrape_ms_ = fields.Signed("last_ms");
  const series_name_table series_names(fields.Array("series"));
  for (const auto& member : fields.Object("processes")) {
    if (!member.value().is_object()) {
      fields.Reject("processes");
      break;
    }
    json_fields known("process", member.value().get_object());
    known_process& added = record.processes_[std::string(member.key())];
    added.last_seen_ms = known.Signed("seen_ms");
    if (!series_names.Decode(known.Array("values"), added.values) ||
        !known.Valid()) {
      fields.Reject("processes");
    }
  }
  const boost::json::array tiers = fields.Array("tiers");
  if (tiers.size() != kReportWindows.size()) fields.Reject("tiers");
  for (std::size_t i = 0; i < kReportWindows.size() && fields.Valid(); ++i) {
    if (!tiers[i].is_array()) fields.Reject("tiers");
    for (const auto& item :
         fields.Valid() ? tiers[i].get_array() : boost::json::array()) {
      if (!item.is_object()) {
        fields.Reject("tiers");
        break;
      }
      json_fields bucket("bucket", item.get_object());
      counter_values& values = record.buckets_[i][bucket.Signed("start_ms")];
      if (!series_names.Decode(bucket.Array("values"), values) ||
          !bucket.Valid()) {
        fields.Reject("tiers");
      }
    }
  }
  if (!fields.Valid()) return fields.Failure();
  return record;
}

}  // namespace radishwing::report
