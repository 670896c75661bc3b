#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <mutex>
#include <optional>

#include "src/base/bounded_ring.h"
#include "src/rpc/entry_link.h"

namespace radishwing::entry {

/// Brings work from other threads to the serve thread.
class serve_inbox {
 public:
  using task = std::function<void()>;

  serve_inbox(boost::asio::io_context& context, std::size_t capacity);

  /// Queues `work`. A full ring makes another thread wait for up to a second;
  /// then the work is dropped and false returned. On the serve thread, which
  /// alone makes room, the work bypasses the ring.
  bool Post(task work);

  /// Hands over a snapshot. A newer one replaces one that is not applied yet.
  void PostSnapshot(rpc::snapshot snapshot,
                    std::function<void(rpc::snapshot)> apply);

 private:
  void Drain();

  boost::asio::io_context& context_;
  bounded_ring<task> ring_;
  std::mutex mutex_;
  std::optional<rpc::snapshot> snapshot_;
};

}  // namespace radishwing::entry
