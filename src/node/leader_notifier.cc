#include "src/node/leader_notifier.h"

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <utility>

namespace radishwing::node {
namespace {

constexpr millis kPushMs = 700;
// Pushes of one job or cancel; together they outlast a change of the leader.
constexpr int kPushTries = 4;
constexpr millis kPushAgainMs = 150;

struct message {
  bool cancel = false;
  std::string id;
  std::string record;  ///< Empty for a cancel.
  int tries_left = kPushTries;
};

}  // namespace

struct leader_notifier::impl
    : std::enable_shared_from_this<leader_notifier::impl> {
  impl(node_context& context, peer_link& peers,
       std::function<leader*()> local_leader)
      : context(context), peers(peers), local_leader(std::move(local_leader)) {}

  void Push(message told);
  void PushAgain(message told);

  node_context& context;
  peer_link& peers;
  std::function<leader*()> local_leader;
};

void leader_notifier::impl::Push(message told) {
  if (leader* local = local_leader()) {
    return told.cancel ? local->CancelJob(told.id)
                       : local->AddJob(told.id, told.record);
  }
  --told.tries_left;
  const std::string& address = context.members.Leader().address;
  if (address.empty()) return PushAgain(std::move(told));
  const std::string path = told.cancel ? "/peer/cancel?id=" : "/peer/job?id=";
  const std::string body = told.record;
  const std::string target = path + told.id;
  peers.Call(
      address, target, body, kPushMs,
      [weak = weak_from_this(),
       told = std::move(told)](const result<std::string>& answer) {
        const auto self = weak.lock();
        if (!self || Ok(answer)) return;
        self->context.log.Warning(
            "front",
            std::string(told.cancel ? "cancel not pushed" : "job not pushed") +
                ", job=" + told.id +
                " tries_left=" + std::to_string(told.tries_left) +
                " error=" + Error(answer).message);
        self->PushAgain(told);
      });
}

void leader_notifier::impl::PushAgain(message told) {
  if (told.tries_left <= 0) return;
  auto timer = std::make_shared<boost::asio::steady_timer>(
      context.io, std::chrono::milliseconds(kPushAgainMs));
  timer->async_wait([weak = weak_from_this(), timer, told = std::move(told)](
                        boost::system::error_code error) mutable {
    const auto self = weak.lock();
    if (!error && self) self->Push(std::move(told));
  });
}

leader_notifier::leader_notifier(node_context& context, peer_link& peers,
                                 std::function<leader*()> local_leader)
    : impl_(std::make_shared<impl>(context, peers, std::move(local_leader))) {}

leader_notifier::~leader_notifier() = default;

void leader_notifier::Job(const std::string& id, const std::string& record) {
  message told;
  told.id = id;
  told.record = record;
  impl_->Push(std::move(told));
}

void leader_notifier::Cancel(const std::string& id) {
  message told;
  told.cancel = true;
  told.id = id;
  impl_->Push(std::move(told));
}

}  // namespace radishwing::node
