#include "src/entry/service_metrics.h"

namespace radishwing::entry {

using metrics::metric;

namespace {

constexpr const char* kVerdictNames[] = {
    "good", "late", "refused", "unknown", "truncated", "cut_off", "rejected"};

// In the order of fairness::work_class.
constexpr const char* kClassNames[] = {"urgent", "interactive", "long"};

}  // namespace

service_metrics::service_metrics(std::string s, std::string t,
                                 metrics::metric_registry* registry)
    : service(std::move(s)), team(std::move(t)), registry_(registry) {
  if (!registry_) return;
  metrics::series labels = Labels();
  seconds_ = &registry_->Histogram(metric::kRequestSeconds, labels);
  waiting_ = &registry_->Gauge(metric::kWaitingRequests, labels);
  running_ = &registry_->Gauge(metric::kRunningRequests, labels);
  labels.value = "request";
  request_bytes_ = &registry_->Counter(metric::kRequestBytes, labels);
  labels.value = "response";
  response_bytes_ = &registry_->Counter(metric::kRequestBytes, labels);
}

metrics::series service_metrics::Labels() const {
  metrics::series labels;
  labels.service = service;
  labels.team = team;
  return labels;
}

prometheus::Counter& service_metrics::Verdict(request_verdict verdict) {
  auto index = static_cast<std::size_t>(verdict);
  if (!verdicts_[index]) {
    metrics::series labels = Labels();
    labels.value = kVerdictNames[index];
    verdicts_[index] = &registry_->Counter(metric::kRequests, labels);
  }
  return *verdicts_[index];
}

void service_metrics::Count(request_verdict verdict, double seconds) {
  bool complete = false;
  switch (verdict) {
    case request_verdict::kLate:
      ++late;
      [[fallthrough]];
    case request_verdict::kGood:
      ++answered;
      complete = true;
      break;
    case request_verdict::kUnknown:
    case request_verdict::kTruncated:
      ++unknown;
      break;
    case request_verdict::kRefused:
    case request_verdict::kCutOff:
      ++refused;
      break;
    case request_verdict::kRejected:
      break;
  }
  if (!registry_) return;
  Verdict(verdict).Increment();
  if (complete) seconds_->Observe(seconds);
}

void service_metrics::CountRetry(const char* result) {
  if (!registry_) return;
  metrics::series labels = Labels();
  labels.value = result;
  registry_->Counter(metric::kRetries, labels).Increment();
}

void service_metrics::CountStart(fairness::work_class cls, double seconds) {
  if (!registry_) return;
  auto index = static_cast<std::size_t>(cls);
  if (!waits_[index]) {
    metrics::series labels = Labels();
    labels.value = kClassNames[index];
    waits_[index] = &registry_->Histogram(metric::kWaitSeconds, labels);
  }
  waits_[index]->Observe(seconds);
}

void service_metrics::CountBytes(std::uint64_t request,
                                 std::uint64_t response) {
  if (!registry_) return;
  if (request > 0) request_bytes_->Increment(static_cast<double>(request));
  if (response > 0) response_bytes_->Increment(static_cast<double>(response));
}

void service_metrics::ShowPresent() {
  if (!registry_) return;
  waiting_->Set(waiting);
  running_->Set(running);
}

}  // namespace radishwing::entry
