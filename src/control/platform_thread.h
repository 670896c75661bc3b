#pragma once

#include <memory>
#include <string>

#include "src/base/result.h"
#include "src/control/platform_seam.h"

namespace radishwing::control {

/// The thread `store`, which runs the platform's HTTP clients. A bounded ring
/// carries calls to it; a full ring fails the call with kFull.
class platform_thread {
 public:
  /// Fails if `address` is not "ip:port". Does not connect.
  static result<std::unique_ptr<platform_thread>> Make(std::string address);

  /// Calls that are in progress get no reply.
  ~platform_thread();
  platform_thread(const platform_thread&) = delete;
  platform_thread& operator=(const platform_thread&) = delete;

  /// The platform for a control. Must not be used after this object.
  platform_seam Seam();

 private:
  struct impl;
  explicit platform_thread(std::unique_ptr<impl> impl);
  std::unique_ptr<impl> impl_;
};

}  // namespace radishwing::control
