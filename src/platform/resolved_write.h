#pragma once

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <utility>

#include "src/platform/platform_link.h"

namespace radishwing::platform {

/// What a read-back says about a write in doubt.
enum class read_back { kSettled, kWriteAgain, kReadAgain };

/// A write, and how to find out whether it took effect. `Outcome` is what the
/// caller of the write gets.
template <typename Outcome>
struct resolved_write_steps {
  using answer = result<platform_answer>;

  std::function<void(platform_link&, platform_link::completion)> write;
  std::function<void(platform_link&, platform_link::completion)> read;
  /// Judges the answer to a write; nothing if the effect is unknown.
  /// `in_doubt`: an earlier attempt may have taken effect.
  std::function<std::optional<Outcome>(const answer&, bool in_doubt)> on_write;
  /// Judges the answer to a read; sets `outcome` if it returns kSettled.
  std::function<read_back(const platform_answer&, Outcome& outcome)> on_read;
  /// The outcome if the effect is still unknown at the deadline.
  std::function<Outcome()> unknown;
};

/// Runs a write. If its answer is lost, reads back until the effect is known,
/// and writes again where the write can no longer take effect twice. The one
/// place in which lost answers are resolved. Ends without a completion if the
/// link goes.
template <typename Outcome>
class resolved_write
    : public std::enable_shared_from_this<resolved_write<Outcome>> {
 public:
  using steps = resolved_write_steps<Outcome>;

  static void Run(const std::shared_ptr<platform_link>& link, steps s,
                  std::function<void(Outcome)> completion) {
    std::shared_ptr<resolved_write> self(
        new resolved_write(link, std::move(s), std::move(completion)));
    self->Write();
  }

 private:
  resolved_write(const std::shared_ptr<platform_link>& link, steps s,
                 std::function<void(Outcome)> completion)
      : link_(link),
        steps_(std::move(s)),
        completion_(std::move(completion)),
        timer_(link->Io()),
        deadline_(std::chrono::steady_clock::now() +
                  std::chrono::milliseconds(link->Options().resolve_ms)) {}

  void Write() {
    const auto link = link_.lock();
    if (!link) return;
    steps_.write(*link, [self = this->shared_from_this()](
                            result<platform_answer> answer) {
      auto outcome = self->steps_.on_write(answer, self->in_doubt_);
      if (outcome) {
        self->completion_(std::move(*outcome));
        return;
      }
      self->in_doubt_ = true;
      self->Pause(&resolved_write::Read);
    });
  }

  void Read() {
    const auto link = link_.lock();
    if (!link) return;
    steps_.read(*link, [self = this->shared_from_this()](
                           result<platform_answer> answer) {
      Outcome outcome{};
      const read_back verdict =
          Ok(answer) ? self->steps_.on_read(Value(answer), outcome)
                     : read_back::kReadAgain;
      if (verdict == read_back::kSettled) {
        self->completion_(std::move(outcome));
      } else if (verdict == read_back::kWriteAgain) {
        if (!self->Overdue()) self->Write();
      } else {
        self->Pause(&resolved_write::Read);
      }
    });
  }

  void Pause(void (resolved_write::*next)()) {
    if (Overdue()) return;
    const auto link = link_.lock();
    if (!link) return;
    timer_.expires_after(std::chrono::milliseconds(link->Options().retry_ms));
    timer_.async_wait([self = this->shared_from_this(),
                       next](boost::system::error_code error) {
      if (!error) ((*self).*next)();
    });
  }

  bool Overdue() {
    if (std::chrono::steady_clock::now() < deadline_) return false;
    completion_(steps_.unknown());
    return true;
  }

  std::weak_ptr<platform_link> link_;
  steps steps_;
  std::function<void(Outcome)> completion_;
  boost::asio::steady_timer timer_;
  std::chrono::steady_clock::time_point deadline_;
  bool in_doubt_ = false;
};

}  // namespace radishwing::platform
