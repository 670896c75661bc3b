#include "src/node/peer_service.h"

#include <boost/json.hpp>
#include <cstdlib>
#include <memory>
#include <utility>
#include <vector>

#include "src/base/json_fields.h"

namespace radishwing::node {
namespace json = boost::json;
namespace {

// Maximum number of nodes that are tried as the relay for one call.
constexpr std::size_t kMaxRelays = 2;
// Time that the relaying node may use in addition to the time limit of the
// store call.
constexpr millis kRelayOverheadMs = 150;
// Added to the time limit of a relayed read, because the relaying node responds
// only when it has received the whole response of the store.
constexpr millis kRelayedReadTransferMs = 3000;

/// A store call that is sent to one node after another until one relays it.
struct relayed_call {
  bool IsRead() const { return call.method == "GET"; }

  std::vector<std::string> addresses;  ///< Nodes to try, in this order.
  std::size_t next = 0;                ///< Index of the next address to try.
  int pending_attempts = 0;            ///< Calls to peers without an answer.
  platform::raw_store_request call;
  /// True if the call may have reached the store without a reply to this node.
  bool outcome_unknown = false;
  /// Null once it has been called.
  std::function<void(result<platform::raw_store_response>)> done;
};

result<platform::raw_store_response> DecodeRelayResponse(
    const std::string& text) {
  auto parsed = json_fields::Parse("relay answer", text);
  if (!Ok(parsed)) return Error(parsed);
  const auto status = static_cast<unsigned>(Value(parsed).Unsigned("status"));
  std::string body = Value(parsed).String("body");
  if (!Value(parsed).Valid()) return Value(parsed).Failure();
  if (status == 0) {
    return failure{body == "unavailable" ? failure_kind::kUnavailable
                                         : failure_kind::kTimeout,
                   "the relaying node received no reply from the store"};
  }
  return platform::raw_store_response{status, std::move(body)};
}

void TryNextPeer(peer_client& peers,
                 const std::shared_ptr<relayed_call>& relay);

void OnPeerAnswer(peer_client& peers,
                  const std::shared_ptr<relayed_call>& relay,
                  const result<std::string>& answer) {
  --relay->pending_attempts;
  if (!relay->done) return;
  result<platform::raw_store_response> decoded =
      Ok(answer) ? DecodeRelayResponse(Value(answer)) : Error(answer);
  if (Ok(decoded)) {
    return std::exchange(relay->done, nullptr)(std::move(decoded));
  }
  if (Error(decoded).kind != failure_kind::kUnavailable &&
      Error(decoded).kind != failure_kind::kDenied) {
    relay->outcome_unknown = true;
  }
  TryNextPeer(peers, relay);
}

void TryNextPeer(peer_client& peers,
                 const std::shared_ptr<relayed_call>& relay) {
  if (relay->next >= relay->addresses.size()) {
    if (relay->pending_attempts > 0) return;
    return std::exchange(relay->done, nullptr)(
        failure{relay->outcome_unknown ? failure_kind::kTimeout
                                       : failure_kind::kUnavailable,
                "no peer could relay the call to the store"});
  }
  const std::string address = relay->addresses[relay->next++];
  const json::object body{{"method", relay->call.method},
                          {"target", relay->call.target},
                          {"body", relay->call.body},
                          {"deadline_ms", relay->call.first_byte_timeout_ms}};
  const millis limit = relay->call.first_byte_timeout_ms + kRelayOverheadMs;
  ++relay->pending_attempts;
  // A read may be sent to the next peer while an earlier one may still answer,
  // because reading twice has no effect.
  if (relay->IsRead()) {
    peers.CallLater(limit, [&peers, relay, attempt = relay->next] {
      if (relay->done && relay->next == attempt) TryNextPeer(peers, relay);
    });
  }
  peers.Call(address, "/peer/store", json::serialize(body),
             limit + (relay->IsRead() ? kRelayedReadTransferMs : 0),
             [&peers, relay](const result<std::string>& answer) {
               OnPeerAnswer(peers, relay, answer);
             });
}

std::uint64_t NumberParameter(const http::server_request& request,
                              std::string_view name) {
  const std::string text(request.target.QueryParameter(name));
  return std::strtoull(text.c_str(), nullptr, 10);
}

// Returns the backlog summary for a node, see leader::BacklogResponse. A node
// of an older version names no summary and ignores the one that it gets.
std::string BacklogResponse(leader& local, const http::server_request& request,
                            std::string_view refused) {
  return local.BacklogResponse(
      std::string(request.target.QueryParameter("node")),
      NumberParameter(request, "fence"), NumberParameter(request, "sequence"),
      refused);
}

}  // namespace

void RelayThroughPeers(
    node_context& context, peer_client& peers, std::size_t sequence,
    platform::raw_store_request call,
    std::function<void(result<platform::raw_store_response>)> done) {
  auto relay = std::make_shared<relayed_call>();
  relay->call = std::move(call);
  relay->done = std::move(done);
  std::vector<member> members = context.members.Members();
  std::erase_if(members, [&](const member& node) {
    return node.name == context.settings.name;
  });
  for (std::size_t i = 0; i < members.size() && i < kMaxRelays; ++i) {
    relay->addresses.push_back(
        members[(sequence + i) % members.size()].address);
  }
  TryNextPeer(peers, relay);
}

void peer_service::RelayStoreCall(const std::string& body,
                                  http::server::responder respond) {
  auto parsed = json_fields::Parse("relay", body);
  if (!Ok(parsed)) {
    return respond(
        http::MakeErrorResponse(400, "malformed", Error(parsed).message));
  }
  platform::raw_store_request call;
  call.method = Value(parsed).String("method");
  call.target = Value(parsed).String("target");
  call.body = Value(parsed).String("body");
  call.first_byte_timeout_ms = Value(parsed).Signed("deadline_ms");
  if (!Value(parsed).Valid()) {
    return respond(http::MakeErrorResponse(400, "malformed",
                                           Value(parsed).Failure().message));
  }
  context_.store->SendForPeer(std::move(call), [respond = std::move(respond)](
                                                   const result<
                                                       platform::
                                                           raw_store_response>&
                                                       answer) {
    json::object encoded;
    if (Ok(answer)) {
      encoded = {{"status", Value(answer).status},
                 {"body", Value(answer).body}};
    } else {
      encoded = {{"status", 0u}, {"body", FailureKindName(Error(answer).kind)}};
    }
    respond(http::MakeJsonResponse(200, encoded));
  });
}

void peer_service::Handle(const http::server_request& request,
                          http::server::responder respond) {
  const std::string& path = request.target.path;
  if (path == "/peer/store") return RelayStoreCall(request.body, respond);
  leader* local = local_leader_();
  if (!local || !local->Ready()) {
    return respond(
        http::MakeErrorResponse(503, "not_leader", "ask another node"));
  }
  const std::string id(request.target.QueryParameter("id"));
  http::server_response response;
  if (path == "/peer/job") {
    // A node of an older version names no revision. The leader finds the job
    // when it next reads the changes of jobs.
    local->AddJob(id, request.body, NumberParameter(request, "revision"));
    response.body = BacklogResponse(*local, request, "");
  } else if (path == "/peer/backlog") {
    response.body = BacklogResponse(*local, request, request.body);
  } else if (path == "/peer/cancel") {
    local->CancelJob(id);
  } else if (path == "/peer/state") {
    const job_status answer = local->JobStatus(id);
    if (answer.known) response.body = sched::JobPhaseName(answer.phase);
  } else if (path == "/peer/pending") {
    response.body = std::to_string(
        local->PendingCount(request.target.QueryParameter("queue")));
  } else {
    response = http::MakeErrorResponse(404, "unknown_path", path);
  }
  respond(std::move(response));
}

}  // namespace radishwing::node
