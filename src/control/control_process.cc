#include "src/control/control_process.h"

#include <future>
#include <mutex>
#include <utility>

#include "src/control/control_core.h"
#include "src/rpc/event_thread.h"

namespace radishwing::control {
namespace {

// Results from the store and inspections that may wait for the decide thread.
constexpr std::size_t kDecideRing = 1024;

}  // namespace

/// Lets replies of the platform reach the decide thread while it exists.
struct decide_door {
  std::mutex mutex;
  rpc::event_thread* thread = nullptr;

  void Post(std::function<void()> task) {
    std::lock_guard<std::mutex> lock(mutex);
    if (thread != nullptr) thread->PostWait(std::move(task));
  }
};

struct control_process::impl {
  impl(control_options options, platform_seam platform)
      : door(std::make_shared<decide_door>()),
        thread("decide", kDecideRing,
               [this, options = std::move(options),
                platform = std::move(platform)](kj::AsyncIoContext& io) {
                 return Start(io, options, platform);
               }) {}

  ~impl() {
    std::lock_guard<std::mutex> lock(door->mutex);
    door->thread = nullptr;
  }

  std::shared_ptr<void> Start(kj::AsyncIoContext& io,
                              const control_options& options,
                              const platform_seam& platform) {
    {
      std::lock_guard<std::mutex> lock(door->mutex);
      door->thread = &thread;
    }
    result<std::string> answer = failure{failure_kind::kInternal, ""};
    std::shared_ptr<control_core> made;
    KJ_IF_MAYBE (exception, kj::runCatchingExceptions([&] {
                   made = std::make_shared<control_core>(
                       io, options, platform, [door = door](auto task) {
                         door->Post(std::move(task));
                       });
                   answer = made->Start().wait(io.waitScope);
                 })) {
      answer = failure{failure_kind::kUnavailable,
                       exception->getDescription().cStr()};
      made.reset();
    }
    core = made.get();
    bound.set_value(std::move(answer));
    return made;
  }

  std::promise<result<std::string>> bound;
  std::string address;
  control_core* core = nullptr;  // Only used on the decide thread.
  std::shared_ptr<decide_door> door;
  rpc::event_thread thread;  // Last: its destruction ends all use of the rest.
};

result<std::unique_ptr<control_process>> control_process::Make(
    control_options options, platform_seam platform) {
  if (options.fleet_secret.empty()) {
    return failure{failure_kind::kInvalid, "the fleet secret is empty"};
  }
  auto made = std::make_unique<impl>(std::move(options), std::move(platform));
  result<std::string> bound = made->bound.get_future().get();
  if (!Ok(bound)) return Error(bound);
  made->address = Value(bound);
  return std::unique_ptr<control_process>(new control_process(std::move(made)));
}

control_process::control_process(std::unique_ptr<impl> impl)
    : impl_(std::move(impl)) {}

control_process::~control_process() = default;

const std::string& control_process::RpcAddress() const {
  return impl_->address;
}

void control_process::Stop(std::function<void()> completion) {
  impl_->thread.PostWait([this, completion = std::move(completion)] {
    if (impl_->core == nullptr) return completion();
    impl_->core->Stop(completion);
  });
}

bool control_process::Post(std::function<void(control_core&)> action) {
  return impl_->thread.Post([this, action = std::move(action)] {
    if (impl_->core != nullptr) action(*impl_->core);
  });
}

void control_process::Inspect(std::function<void(control_core&)> action) {
  impl_->thread.Run([&] {
    if (impl_->core != nullptr) action(*impl_->core);
  });
}

}  // namespace radishwing::control
