#pragma once

#include <initializer_list>
#include <span>
#include <string_view>

#include "src/report/scrape.h"

namespace radishwing::report {

/// A label and the value that a series must have for it.
struct label_filter {
  std::string_view label;
  std::string_view value;
};

/// Aggregates gauges over the scrapes of all daemons.
class gauge_view {
 public:
  using label_filters = std::initializer_list<label_filter>;

  /// `scrapes` must outlive the view.
  explicit gauge_view(std::span<const scrape> scrapes) : scrapes_(scrapes) {}

  /// Sum over all daemons, for values that each daemon reports for itself.
  double SumOverDaemons(std::string_view name, label_filters wanted) const;

  /// Maximum over all daemons, for values that each daemon reports for the
  /// whole fleet.
  double MaxOverDaemons(std::string_view name, label_filters wanted) const;

  /// Sum over the data centres of the maximum in each, for values that each
  /// daemon reports for its data centre.
  double SumOfDataCentreMax(std::string_view name, label_filters wanted) const;

 private:
  std::span<const scrape> scrapes_;
};

}  // namespace radishwing::report
