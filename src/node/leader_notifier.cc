#include "src/node/leader_notifier.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <utility>

namespace radishwing::node {
namespace {

// Timeout of one attempt to notify the leader.
constexpr millis kSendTimeoutMs = 700;
// Attempts per notification. If all of them time out, together they take longer
// than a change of leader.
constexpr int kMaxAttempts = 4;
constexpr millis kRetryDelayMs = 150;
// Delay of the attempt after a node that does not lead, or not yet.
constexpr millis kNotReadyRetryDelayMs = 600;

struct leader_notification {
  bool is_cancel = false;  ///< True for a cancel request, false for a job.
  std::string id;          ///< Id of the job.
  /// Value of the job's key in the store; empty for a cancel request.
  std::string record;
  std::uint64_t revision = 0;  ///< Revision of that key.
  int attempts_left = kMaxAttempts;
};

}  // namespace

struct leader_notifier::impl
    : std::enable_shared_from_this<leader_notifier::impl> {
  impl(node_context& context, peer_client& peers,
       std::function<leader*()> local_leader, admission_control& admission)
      : context(context),
        peers(peers),
        local_leader(std::move(local_leader)),
        admission(admission) {}

  /// Sends a notification to the leader once. If that fails, schedules the next
  /// attempt.
  void Send(leader_notification notification);
  void RetryLater(leader_notification notification, millis delay);

  node_context& context;
  peer_client& peers;
  std::function<leader*()> local_leader;
  admission_control& admission;
};

void leader_notifier::impl::Send(leader_notification notification) {
  if (leader* local = local_leader()) {
    return notification.is_cancel
               ? local->CancelJob(notification.id)
               : local->AddJob(notification.id, notification.record,
                               notification.revision);
  }
  --notification.attempts_left;
  const std::string& address = context.members.Leader().address;
  if (address.empty()) {
    return RetryLater(std::move(notification), kRetryDelayMs);
  }
  const std::string target =
      notification.is_cancel
          ? "/peer/cancel?id=" + notification.id
          : "/peer/job?id=" + notification.id +
                "&revision=" + std::to_string(notification.revision) + "&" +
                admission.KnownSummary();
  const std::string body = notification.record;
  peers.Call(
      address, target, body, kSendTimeoutMs,
      [weak = weak_from_this(), notification = std::move(notification)](
          const result<std::string>& response) mutable {
        const auto self = weak.lock();
        if (!self) return;
        if (Ok(response)) {
          if (!notification.is_cancel) {
            self->admission.ApplyResponse(Value(response));
          }
          return;
        }
        self->admission.RecordFailedContact();
        self->context.log.Warning(
            "front",
            std::string(notification.is_cancel ? "cancel notification failed"
                                               : "job notification failed") +
                ", job=" + notification.id +
                " tries_left=" + std::to_string(notification.attempts_left) +
                " error=" + Error(response).message);
        if (Error(response).kind == failure_kind::kDenied) {
          // The next leader reads all jobs. One more attempt shortens
          // its wait for jobs that were stored while it read them.
          notification.attempts_left = std::min(notification.attempts_left, 1);
          return self->RetryLater(notification, kNotReadyRetryDelayMs);
        }
        self->RetryLater(notification, kRetryDelayMs);
      });
}

void leader_notifier::impl::RetryLater(leader_notification notification,
                                       millis delay) {
  if (notification.attempts_left <= 0) return;
  auto timer = std::make_shared<boost::asio::steady_timer>(
      context.io, std::chrono::milliseconds(delay));
  timer->async_wait(
      [weak = weak_from_this(), timer, notification = std::move(notification)](
          boost::system::error_code error) mutable {
        const auto self = weak.lock();
        if (!error && self) self->Send(std::move(notification));
      });
}

leader_notifier::leader_notifier(node_context& context, peer_client& peers,
                                 std::function<leader*()> local_leader,
                                 admission_control& admission)
    : impl_(std::make_shared<impl>(context, peers, std::move(local_leader),
                                   admission)) {}

leader_notifier::~leader_notifier() = default;

void leader_notifier::NotifyJobStored(const std::string& id,
                                      const std::string& record,
                                      std::uint64_t revision) {
  leader_notification notification;
  notification.id = id;
  notification.record = record;
  notification.revision = revision;
  impl_->Send(std::move(notification));
}

void leader_notifier::NotifyCancelStored(const std::string& id) {
  leader_notification notification;
  notification.is_cancel = true;
  notification.id = id;
  impl_->Send(std::move(notification));
}

}  // namespace radishwing::node
