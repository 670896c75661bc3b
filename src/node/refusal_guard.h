#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "src/node/node_context.h"

namespace radishwing::node {

/// Tolerated difference between the clocks of two nodes, and time by which a
/// caller may come back too early.
inline constexpr millis kEarlyReturnMs = 1000;

/// Returns the Unix time at which a caller was told to submit a job again, from
/// the value of the refusal's key, or 0 if that is malformed.
millis DecodeRetryTime(std::string_view guard);

/// Result of an attempt to guard the refusal of a job.
struct guard_outcome {
  enum class kind {
    kGuarded,       ///< The job is not stored, and no submission until now can
                    ///< be stored any more.
    kStored,        ///< The job is stored.
    kOtherRefusal,  ///< The key of another refusal exists.
    kUnavailable,   ///< The store could not be reached.
    kUnknown,  ///< The store may have written the guard, or may do so later.
  };
  kind result = kind::kUnknown;
  /// Revision of the job's key if kStored, else of the key of the refusal.
  std::uint64_t revision = 0;
  std::string record;           ///< Value of the job's key, if kStored.
  millis retry_at_unix_ms = 0;  ///< Of the other refusal, if kOtherRefusal.
};

/// Writes the keys of refusals, see RefusalKey(). Such a key makes the store
/// reject earlier submissions of the same job that it has not carried out yet,
/// so that a caller can be told that the job does not run. Refusals that wait
/// at the same time share a commit, and a node delays its commits so that those
/// of all nodes leave the store's write rate to accepted jobs. The store
/// removes the keys after some time.
class refusal_guard {
 public:
  using completion = std::function<void(const guard_outcome&)>;

  /// `count_nodes` returns the number of nodes that take submissions.
  refusal_guard(node_context& context,
                std::function<std::size_t()> count_nodes);
  ~refusal_guard();

  /// Guards the refusal of the job `id`, whose caller is told to submit it
  /// again at the Unix time `retry_at_unix_ms`. `known_revision` is the
  /// revision of the key of an earlier refusal; 0: none is known.
  void Guard(const std::string& id, std::uint64_t known_revision,
             millis retry_at_unix_ms, completion done);

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace radishwing::node
