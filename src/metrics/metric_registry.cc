#include "src/metrics/metric_registry.h"

#include <prometheus/family.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <algorithm>
#include <mutex>
#include <sstream>
#include <unordered_map>
#include <vector>

#include "src/base/clock.h"

namespace radishwing::metrics {
namespace {

constexpr std::string_view kOther = "other";

bool Contains(std::string_view list, char separator, std::string_view item) {
  while (!list.empty()) {
    const std::size_t end = std::min(list.find(separator), list.size());
    if (list.substr(0, end) == item) return true;
    list.remove_prefix(std::min(end + 1, list.size()));
  }
  return false;
}

std::string LabelValue(const metric_row& row, std::string_view label,
                       const series& labels) {
  if (label == "service") return labels.service;
  if (label == "team") return labels.team.empty() ? "-" : labels.team;
  if (label == "pool") return labels.pool;
  if (label == "wave") return labels.wave;
  if (Contains(row.values, '|', labels.value)) return labels.value;
  return std::string(kOther);
}

prometheus::Labels MakeLabels(const metric_row& row, const series& labels) {
  prometheus::Labels made;
  std::string_view rest = row.labels;
  while (!rest.empty()) {
    const std::size_t end = std::min(rest.find(','), rest.size());
    const std::string_view label = rest.substr(0, end);
    made.emplace(label, LabelValue(row, label, labels));
    rest.remove_prefix(std::min(end + 1, rest.size()));
  }
  return made;
}

prometheus::Labels ConstantLabels(const process_labels& labels) {
  return {{"program", labels.program},
          {"host", labels.host},
          {"data_centre", labels.data_centre}};
}

/// A family with the number of its series.
template <typename T>
struct counted_family {
  prometheus::Family<T>* family = nullptr;
  std::size_t series_count = 0;

  template <typename... Arguments>
  T& Get(const metric_row& row, const series& labels,
         const Arguments&... arguments) {
    const prometheus::Labels made = MakeLabels(row, labels);
    if (family->Has(made)) return family->Add(made, arguments...);
    if (series_count >= kMaxSeries) {
      const std::string other(kOther);
      return family->Add(
          MakeLabels(row, {other, other, other, other, labels.value}),
          arguments...);
    }
    ++series_count;
    return family->Add(made, arguments...);
  }
};

}  // namespace

struct metric_registry::impl {
  mutable std::mutex mutex;
  prometheus::Registry registry;
  std::unordered_map<std::size_t, counted_family<prometheus::Counter>> counters;
  std::unordered_map<std::size_t, counted_family<prometheus::Gauge>> gauges;
  std::unordered_map<std::size_t, counted_family<prometheus::Histogram>>
      histograms;
};

metric_registry::metric_registry(const process_labels& labels)
    : impl_(std::make_unique<impl>()) {
  const prometheus::Labels constant = ConstantLabels(labels);
  for (const metric_row& row : MetricTable()) {
    const std::size_t index = static_cast<std::size_t>(row.id);
    const auto fill = [&](auto builder) -> auto& {
      return builder.Name(std::string(row.name))
          .Help(std::string(row.doc))
          .Labels(constant)
          .Register(impl_->registry);
    };
    switch (row.type) {
      case metric_type::kCounter:
        impl_->counters[index].family = &fill(prometheus::BuildCounter());
        break;
      case metric_type::kGauge:
        impl_->gauges[index].family = &fill(prometheus::BuildGauge());
        break;
      case metric_type::kHistogram:
        impl_->histograms[index].family = &fill(prometheus::BuildHistogram());
        break;
    }
  }
  Gauge(metric::kProcessStart)
      .Set(static_cast<double>(clock::Wall().Now()) / 1000);
}

metric_registry::~metric_registry() = default;

prometheus::Counter& metric_registry::Counter(metric id, const series& labels) {
  std::lock_guard<std::mutex> lock(impl_->mutex);
  return impl_->counters.at(static_cast<std::size_t>(id))
      .Get(MetricRow(id), labels);
}

prometheus::Gauge& metric_registry::Gauge(metric id, const series& labels) {
  std::lock_guard<std::mutex> lock(impl_->mutex);
  return impl_->gauges.at(static_cast<std::size_t>(id))
      .Get(MetricRow(id), labels);
}

prometheus::Histogram& metric_registry::Histogram(metric id,
                                                  const series& labels) {
  static const std::vector<double> kBounds(LatencyBuckets().begin(),
                                           LatencyBuckets().end());
  std::lock_guard<std::mutex> lock(impl_->mutex);
  return impl_->histograms.at(static_cast<std::size_t>(id))
      .Get(MetricRow(id), labels, kBounds);
}

std::string metric_registry::Serialize() const {
  std::ostringstream text;
  prometheus::TextSerializer().Serialize(text, impl_->registry.Collect());
  return text.str();
}

}  // namespace radishwing::metrics
