#include "src/rpc/event_thread.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <chrono>
#include <future>
#include <thread>
#include <utility>

#include "src/base/bounded_ring.h"
#include "src/base/log.h"
#include "src/base/thread_name.h"

namespace radishwing::rpc {

struct event_thread::impl {
  impl(std::string thread_name, std::size_t capacity, starter thread_start)
      : name(std::move(thread_name)),
        start(std::move(thread_start)),
        ring(capacity, [this] { Wake(); }) {
    std::array<int, 2> ends{-1, -1};
    if (pipe2(ends.data(), O_CLOEXEC | O_NONBLOCK) != 0) {
      LogError("rpc", "pipe could not be created, thread=" + name);
    }
    read_end = ends[0];
    write_end = ends[1];
  }

  ~impl() {
    close(read_end);
    close(write_end);
  }

  void Wake() {
    char byte = 1;
    // A full pipe already holds a wake-up.
    [[maybe_unused]] auto written = write(write_end, &byte, 1);
  }

  void Drain() {
    while (auto task = ring.TryPop()) RunTask(*task);
  }

  void RunTask(const std::function<void()>& task) {
    KJ_IF_MAYBE (exception, kj::runCatchingExceptions([&] { task(); })) {
      LogError("rpc", "task failed, thread=" + name +
                          " reason=" + exception->getDescription().cStr());
    }
  }

  kj::Promise<void> Listen(kj::AsyncInputStream& wakes) {
    return wakes.tryRead(buffer.data(), 1, buffer.size())
        .then([this, &wakes](std::size_t) -> kj::Promise<void> {
          Drain();
          if (stopping) return kj::READY_NOW;
          return Listen(wakes);
        });
  }

  void Main() {
    NameThread(name);
    auto io = kj::setupAsyncIo();
    std::shared_ptr<void> object;
    RunTask([&] { object = start(io); });
    auto wakes = io.lowLevelProvider->wrapInputFd(read_end);
    RunTask([&] { Listen(*wakes).wait(io.waitScope); });
    stopped = true;
    RunTask([&] { object.reset(); });
    RunTask([&] { io.waitScope.cancelAllDetached(); });
  }

  std::string name;
  starter start;
  bounded_ring<std::function<void()>> ring;
  int read_end = -1;
  int write_end = -1;
  bool stopping = false;  // Only used on the loop thread.
  std::atomic<bool> stopped{false};
  std::array<char, 64> buffer{};
  std::thread thread;
};

event_thread::event_thread(std::string name, std::size_t capacity,
                           starter start)
    : impl_(
          std::make_unique<impl>(std::move(name), capacity, std::move(start))) {
  impl_->thread = std::thread([this] { impl_->Main(); });
}

event_thread::~event_thread() {
  PostWait([this] { impl_->stopping = true; });
  impl_->thread.join();
}

bool event_thread::Post(std::function<void()> task) {
  return impl_->ring.TryPush(std::move(task));
}

void event_thread::PostWait(std::function<void()> task) {
  // The consumer empties the ring without blocking, so room appears soon.
  while (!impl_->stopped && !impl_->ring.TryPush(std::move(task))) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
}

void event_thread::Run(std::function<void()> task) {
  std::promise<void> ended;
  PostWait([&] {
    impl_->RunTask(task);
    ended.set_value();
  });
  ended.get_future().wait();
}

}  // namespace radishwing::rpc
