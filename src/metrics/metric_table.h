#pragma once

#include <span>
#include <string>
#include <string_view>

namespace radishwing::metrics {

/// Every metric that a daemon exports.
enum class metric {
  // Entry.
  kRequests,
  kRequestSeconds,
  kWaitSeconds,
  kRequestBytes,
  kRetries,
  kWaitingRequests,
  kRunningRequests,
  kSlotSeconds,
  kConnections,
  kRunners,
  kCutOffSeconds,
  // Control.
  kPoolHosts,
  kHostMoves,
  kWaveHosts,
  kTokens,
  kTeamLimit,
  kClaims,
  kMembers,
  kJobs,
  kStoreCalls,
  kStoreSeconds,
  kPeerBytes,
  // Both.
  kSettingsRevision,
  kTableVersion,
  kRingDrops,
  kReady,
  kProcessStart,
};

enum class metric_type { kCounter, kGauge, kHistogram };

/// One row of the table of metrics.
struct metric_row {
  metric id;
  std::string_view name;  ///< Ends in the unit.
  metric_type type;
  /// Labels, separated by `,`: some of `service`, `team`, `pool`, `wave`, and
  /// at most one other with a fixed set of values.
  std::string_view labels;
  std::string_view values;  ///< Values of that other label, separated by `|`.
  std::string_view doc;
};

/// Every metric, in the order of `metric`.
std::span<const metric_row> MetricTable();

/// The row of `id`.
const metric_row& MetricRow(metric id);

/// Upper bounds of the latency buckets in seconds. They cover the targets of
/// an entry (0.3 ms and 1.5 ms) and of urgent starts (9.4 s).
std::span<const double> LatencyBuckets();

/// Largest number of series of one metric: 250 teams with 32 services each.
/// Above it, the names are replaced by `other`.
inline constexpr std::size_t kMaxSeries = 8'000;

/// The page docs/metrics.md (Markdown).
std::string MetricPage();

}  // namespace radishwing::metrics
