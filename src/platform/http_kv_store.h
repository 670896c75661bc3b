#pragma once

#include <memory>

#include "src/platform/kv_store.h"
#include "src/platform/platform_link.h"

namespace radishwing::platform {

/// The store over HTTP. Completions do not run after the last adapter of the
/// link is destroyed.
class http_kv_store : public kv_store {
 public:
  explicit http_kv_store(std::shared_ptr<platform_link> link);

  void Read(std::string_view key, completion<kv_item> completion) override;
  void ReadPrefix(std::string_view prefix,
                  completion<kv_page> completion) override;
  void Watch(std::string_view prefix, std::uint64_t after, millis wait_ms,
             completion<kv_page> completion) override;
  void Swap(kv_swap swap,
            std::function<void(swap_outcome)> completion) override;
  void Delete(std::string_view key, std::uint64_t expect,
              std::function<void(swap_outcome)> completion) override;
  void GrantLease(millis ttl_ms, completion<std::string> completion) override;
  void RenewLease(std::string_view lease, completion<done> completion) override;
  void RevokeLease(std::string_view lease,
                   completion<done> completion) override;

 private:
  std::shared_ptr<platform_link> link_;
};

}  // namespace radishwing::platform
