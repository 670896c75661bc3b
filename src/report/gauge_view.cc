#include "src/report/gauge_view.h"

#include <algorithm>
#include <map>

namespace radishwing::report {
namespace {

bool Matches(const metric_sample& sample, std::string_view name,
             gauge_view::label_filters filters) {
  return sample.name == name &&
         std::all_of(filters.begin(), filters.end(),
                     [&](const label_filter& f) {
                       return sample.LabelValue(f.label) == f.value;
                     });
}

double SumInScrape(const scrape& scraped, std::string_view name,
                   gauge_view::label_filters filters) {
  double sum = 0;
  for (const metric_sample& sample : scraped.samples) {
    if (Matches(sample, name, filters)) sum += sample.value;
  }
  return sum;
}

}  // namespace

double gauge_view::SumOverNodes(std::string_view name,
                                label_filters filters) const {
  double total = 0;
  for (const scrape& scraped : scrapes_)
    total += SumInScrape(scraped, name, filters);
  return total;
}

double gauge_view::MaxOverNodes(std::string_view name,
                                label_filters filters) const {
  double maximum = 0;
  for (const scrape& scraped : scrapes_) {
    maximum = std::max(maximum, SumInScrape(scraped, name, filters));
  }
  return maximum;
}

double gauge_view::SumOfDataCentreMaxima(std::string_view name,
                                         label_filters filters) const {
  std::map<std::string_view, double> by_data_centre;
  for (const scrape& scraped : scrapes_) {
    for (const metric_sample& sample : scraped.samples) {
      if (!Matches(sample, name, filters)) continue;
      double& maximum = by_data_centre[sample.LabelValue("data_centre")];
      maximum = std::max(maximum, sample.value);
    }
  }
  double total = 0;
  for (const auto& [data_centre, value] : by_data_centre) total += value;
  return total;
}

}  // namespace radishwing::report
