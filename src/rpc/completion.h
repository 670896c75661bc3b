#pragma once

#include <functional>
#include <memory>
#include <utility>

#include "src/base/result.h"

namespace radishwing::rpc {

/// A completion that is called exactly once: if its last copy is destroyed
/// before, it gets failure_kind::kUnavailable. So an operation that is dropped
/// on the way, or cut off by the end of its thread, still completes.
template <typename T>
class completion {
 public:
  explicit completion(std::function<void(result<T>)> call)
      : state_(std::make_shared<state>(std::move(call))) {}

  void operator()(result<T> value) const {
    if (auto call = std::exchange(state_->call, nullptr)) {
      call(std::move(value));
    }
  }

 private:
  struct state {
    explicit state(std::function<void(result<T>)> c) : call(std::move(c)) {}
    ~state() {
      if (call) {
        call(failure{failure_kind::kUnavailable, "the operation was dropped"});
      }
    }
    std::function<void(result<T>)> call;
  };
  std::shared_ptr<state> state_;
};

}  // namespace radishwing::rpc
