#include "src/report/gauge_view.h"

#include <algorithm>
#include <map>

namespace radishwing::report {
namespace {

bool Matches(const metric_sample& sample, std::string_view name,
             gauge_view::filters wanted) {
  return sample.name == name &&
         std::all_of(wanted.begin(), wanted.end(), [&](const label_filter& f) {
           return sample.Label(f.label) == f.value;
         });
}

double SumOf(const scrape& scraped, std::string_view name,
             gauge_view::filters wanted) {
  double sum = 0;
  for (const metric_sample& sample : scraped.samples) {
    if (Matches(sample, name, wanted)) sum += sample.value;
  }
  return sum;
}

}  // namespace

double gauge_view::Total(std::string_view name, filters wanted) const {
  double total = 0;
  for (const scrape& scraped : scrapes_) total += SumOf(scraped, name, wanted);
  return total;
}

double gauge_view::Largest(std::string_view name, filters wanted) const {
  double largest = 0;
  for (const scrape& scraped : scrapes_) {
    largest = std::max(largest, SumOf(scraped, name, wanted));
  }
  return largest;
}

double gauge_view::PerDataCentre(std::string_view name, filters wanted) const {
  std::map<std::string_view, double> by_data_centre;
  for (const scrape& scraped : scrapes_) {
    for (const metric_sample& sample : scraped.samples) {
      if (!Matches(sample, name, wanted)) continue;
      double& largest = by_data_centre[sample.Label("data_centre")];
      largest = std::max(largest, sample.value);
    }
  }
  double total = 0;
  for (const auto& [data_centre, value] : by_data_centre) total += value;
  return total;
}

}  // namespace radishwing::report
