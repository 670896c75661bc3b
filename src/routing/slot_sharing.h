#pragma once

#include <cstdint>
#include <vector>

namespace radishwing::routing {

/// Ways in which several entries share the slots of one runner. Entries use
/// kOptimistic; the others exist for comparison (docs/design.md, section 5).
enum class slot_policy {
  kPartitioned,  ///< Each entry owns a fixed part of the slots.
  kGranted,      ///< An owner grants slots; a request waits for the grant.
  kOptimistic,   ///< Every entry may use every slot; the runner rejects.
};

/// What an entry may do with a request now.
enum class slot_decision {
  kSend,
  kWait,  ///< No slot; try again when one is released.
  kAsk,   ///< Ask the owner of the slots first (kGranted).
};

/// The slots of one runner as its entries see them, for comparing the
/// policies. Entries and the runner are in one object; what one of them knows
/// of the others is what the policy would tell it.
class slot_sharing {
 public:
  slot_sharing(slot_policy policy, std::uint32_t slots, std::uint32_t entries);

  /// Whether `entry` may send a request now.
  slot_decision MaySend(std::uint32_t entry) const;

  /// The owner answers a request of kAsk, one round trip later. True grants a
  /// slot to `entry`, which holds it until Release.
  bool Grant(std::uint32_t entry);

  /// `entry` sends a request. False if the runner rejects it as full: the
  /// attempt was for nothing.
  bool Arrive(std::uint32_t entry);

  /// A request of `entry` has ended.
  void Release(std::uint32_t entry);

  std::uint32_t Running() const { return running_; }
  std::uint32_t Rejected() const { return rejected_; }

 private:
  std::uint32_t Part(std::uint32_t entry) const;

  slot_policy policy_;
  std::uint32_t slots_;
  std::vector<std::uint32_t> in_flight_;  ///< By entry.
  std::vector<std::uint32_t> granted_;    ///< By entry, not yet used.
  std::uint32_t running_ = 0;
  std::uint32_t rejected_ = 0;
};

}  // namespace radishwing::routing
