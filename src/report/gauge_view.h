#pragma once

#include <initializer_list>
#include <span>
#include <string_view>

#include "src/report/scrape.h"

namespace radishwing::report {

/// Selects the series whose label `label` has the value `value`.
struct label_filter {
  std::string_view label;
  std::string_view value;
};

/// Aggregates a gauge over the scrapes of all nodes. Each function includes
/// only the series of the metric `name` that match every filter, and returns 0
/// if no series matches.
class gauge_view {
 public:
  using label_filters = std::initializer_list<label_filter>;

  /// `scrapes` must outlive the view.
  explicit gauge_view(std::span<const scrape> scrapes) : scrapes_(scrapes) {}

  /// Returns the sum over all nodes, for a gauge whose value covers only the
  /// node that exports it.
  double SumOverNodes(std::string_view name, label_filters filters) const;

  /// Returns the maximum over all nodes, for a gauge whose value on each node
  /// covers the whole fleet.
  double MaxOverNodes(std::string_view name, label_filters filters) const;

  /// Returns the sum of the maxima of the data centres, for a gauge whose
  /// value on each node covers the node's whole data centre.
  double SumOfDataCentreMaxima(std::string_view name,
                               label_filters filters) const;

 private:
  std::span<const scrape> scrapes_;
};

}  // namespace radishwing::report
