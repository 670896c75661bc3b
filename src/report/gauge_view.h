#pragma once

#include <initializer_list>
#include <span>
#include <string_view>

#include "src/report/scrape.h"

namespace radishwing::report {

/// A label that a series must have.
struct label_filter {
  std::string_view label;
  std::string_view value;
};

/// Reads gauges from the scrapes of all daemons.
class gauge_view {
 public:
  using filters = std::initializer_list<label_filter>;

  /// Keeps a reference to the scrapes.
  explicit gauge_view(std::span<const scrape> scrapes) : scrapes_(scrapes) {}

  /// Sum over all daemons.
  double Total(std::string_view name, filters wanted) const;

  /// Largest value of any one daemon. For what every daemon knows of the
  /// whole fleet.
  double Largest(std::string_view name, filters wanted) const;

  /// Sum over the data centres of the largest value in each. For what every
  /// control of a data centre knows of it.
  double PerDataCentre(std::string_view name, filters wanted) const;

 private:
  std::span<const scrape> scrapes_;
};

}  // namespace radishwing::report
