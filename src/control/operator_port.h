#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>

#include "src/base/result.h"
#include "src/control/operator_hooks.h"
#include "src/settings/secret_text.h"

namespace radishwing::control {

/// The operator port of a control (docs/design.md, section 16.3): HTTP/1.1
/// with JSON. Every request needs the operator secret; bodies, names and the
/// number of connections are bounded.
class operator_port {
 public:
  /// Binds "ip:port"; port 0 picks a free port. Call it before `io` runs or on
  /// its thread. `io` must outlive every completion that is still pending.
  static result<std::unique_ptr<operator_port>> Make(
      boost::asio::io_context& io, const std::string& address,
      settings::secret_text secret, operator_hooks hooks);
  /// Closes every connection; on the thread of `io` or after it has stopped.
  /// Completions that arrive later are ignored.
  ~operator_port();
  operator_port(const operator_port&) = delete;
  operator_port& operator=(const operator_port&) = delete;

  /// The bound "ip:port".
  std::string Address() const;

  /// Accepts no more connections and closes idle ones.
  void Drain();

 private:
  struct impl;
  explicit operator_port(std::shared_ptr<impl> impl);
  std::shared_ptr<impl> impl_;
};

}  // namespace radishwing::control
