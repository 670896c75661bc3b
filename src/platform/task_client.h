#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "src/base/result.h"
#include "src/platform/task_spec.h"
#include "src/platform/task_status.h"

namespace radishwing::platform {

/// The platform's tasks on workers. Threads and failures as in kv_store;
/// kNotFound: no such task, kConflict: its state does not allow the call.
class task_client {
 public:
  template <typename T>
  using completion = std::function<void(result<T>)>;

  virtual ~task_client() = default;

  /// Starts a task. A lost answer is resolved by reading the task back.
  virtual void Start(task_spec spec,
                     std::function<void(start_outcome)> completion) = 0;
  virtual void Get(std::string_view id, completion<task_status> completion) = 0;
  /// Extends the lease by its length from now.
  virtual void Renew(std::string_view id, completion<done> completion) = 0;
  virtual void Checkpoint(std::string_view id, completion<done> completion) = 0;
  /// Slows the task down to `rate`, above 0 up to 1.
  virtual void Throttle(std::string_view id, double rate,
                        completion<done> completion) = 0;
  virtual void Stop(std::string_view id, completion<done> completion) = 0;
  /// The result of a finished task.
  virtual void Result(std::string_view id,
                      completion<std::string> completion) = 0;
};

}  // namespace radishwing::platform
