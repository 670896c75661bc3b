#pragma once

#include <memory>

#include "src/platform/platform_link.h"
#include "src/platform/task_client.h"

namespace radishwing::platform {

/// The platform's tasks over HTTP.
class http_task_client : public task_client {
 public:
  explicit http_task_client(std::shared_ptr<platform_link> link);

  void Start(task_spec spec,
             std::function<void(start_outcome)> completion) override;
  void Get(std::string_view id, completion<task_status> completion) override;
  void Renew(std::string_view id, completion<done> completion) override;
  void Checkpoint(std::string_view id, completion<done> completion) override;
  void Throttle(std::string_view id, double rate,
                completion<done> completion) override;
  void Stop(std::string_view id, completion<done> completion) override;
  void Result(std::string_view id, completion<std::string> completion) override;

 private:
  void Post(std::string_view id, std::string_view verb, std::string content,
            completion<done> completion);

  std::shared_ptr<platform_link> link_;
};

}  // namespace radishwing::platform
