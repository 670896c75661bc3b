#pragma once

#include <kj/async-io.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace radishwing::rpc {

/// A KJ event loop on a thread of its own. Other threads reach it through a
/// bounded ring of tasks; the ring's consumer is woken by a pipe, because a
/// kj::Executor would block a calling thread that has no KJ loop itself.
class event_thread {
 public:
  /// Runs first on the loop thread. The object it returns lives on that thread
  /// and is destroyed there when the loop stops. A KJ exception ends the start
  /// and leaves the loop without an object.
  using starter = std::function<std::shared_ptr<void>(kj::AsyncIoContext&)>;

  /// Starts the thread. `name` is the thread's name, `capacity` the number of
  /// tasks that may wait.
  event_thread(std::string name, std::size_t capacity, starter start);

  /// Runs the tasks that wait, destroys the loop's object and joins the thread.
  /// Must not be called on the loop thread.
  ~event_thread();
  event_thread(const event_thread&) = delete;
  event_thread& operator=(const event_thread&) = delete;

  /// Runs `task` on the loop thread. Returns false and drops it if the ring is
  /// full. Callable from any thread.
  bool Post(std::function<void()> task);

  /// Like Post, but waits until the ring has room. For results that must not
  /// be lost; not to be called on the loop thread. After the loop has stopped
  /// the task is dropped.
  void PostWait(std::function<void()> task);

  /// Runs `task` on the loop thread and waits for its end. Must not be called
  /// on the loop thread.
  void Run(std::function<void()> task);

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace radishwing::rpc
