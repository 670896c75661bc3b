#pragma once

#include <memory>
#include <string>

#include "src/platform/host_client.h"
#include "src/platform/platform_link.h"

namespace radishwing::platform {

/// The platform's hosts over HTTP.
class http_host_client : public host_client {
 public:
  explicit http_host_client(std::shared_ptr<platform_link> link);

  void List(completion<std::vector<host_info>> completion) override;
  void Drain(std::string_view host, completion<done> completion) override;
  void Undrain(std::string_view host, completion<done> completion) override;
  void Reboot(std::string_view host, completion<done> completion) override;

 private:
  void Change(std::string host, std::string verb, host_state wanted,
              completion<done> completion);

  std::shared_ptr<platform_link> link_;
};

}  // namespace radishwing::platform
