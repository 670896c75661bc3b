#pragma once

#include <memory>

#include "src/platform/live_list_client.h"
#include "src/platform/platform_link.h"

namespace radishwing::platform {

/// The live list over HTTP.
class http_live_list_client : public live_list_client {
 public:
  explicit http_live_list_client(std::shared_ptr<platform_link> link);
  void Get(std::function<void(result<live_list>)> completion) override;

 private:
  std::shared_ptr<platform_link> link_;
};

}  // namespace radishwing::platform
