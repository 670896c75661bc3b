#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "src/base/result.h"
#include "src/entry/entry_options.h"
#include "src/entry/link_port.h"
#include "src/rpc/entry_link.h"

namespace radishwing::entry {

/// The request path of an entry process, on a thread of its own named `serve`.
/// Methods may be called from any thread.
class entry_server {
 public:
  /// Binds the caller address. `port` is called on the serve thread.
  static result<std::unique_ptr<entry_server>> Make(entry_options options,
                                                    link_port port);

  /// Starts the thread, which accepts callers.
  void Start();

  /// Stops at once; callers see broken connections.
  ~entry_server();
  entry_server(const entry_server&) = delete;
  entry_server& operator=(const entry_server&) = delete;

  /// The bound "ip:port" for callers.
  std::string CallerAddress() const;

  // Hooks for rpc::entry_link.
  void OnSnapshot(rpc::snapshot snapshot);
  void OnConnected(bool connected);
  void OnContact(millis sent_at);
  void OnCancel(std::string_view request_id, std::string_view team);
  rpc::entry_report MakeReport();

  /// Attempts on runners since the start, refused connections included.
  std::uint64_t Attempts() const;

  /// True once a snapshot is applied and until a stop begins.
  bool Ready() const;

  /// False if the serve thread has not run its timer for 5 s.
  bool Healthy() const;

  /// Stops gracefully: after the balancer delay no new work is accepted, and
  /// when nothing is in flight tokens are returned and `stopped` is called, on
  /// the serve thread.
  void Stop(std::function<void()> stopped);

  /// Ends the thread. Completions of the port may still arrive until the
  /// server is destroyed; they have no effect. Idempotent.
  void Halt();

 private:
  struct impl;
  explicit entry_server(std::unique_ptr<impl> impl);
  std::unique_ptr<impl> impl_;
};

}  // namespace radishwing::entry
