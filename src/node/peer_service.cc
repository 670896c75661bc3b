#include "src/node/peer_service.h"

#include <boost/json.hpp>
#include <memory>
#include <utility>
#include <vector>

#include "src/base/json_fields.h"

namespace radishwing::node {
namespace json = boost::json;
namespace {

// Number of nodes tried as a relay for one call.
constexpr std::size_t kMaxRelays = 2;
constexpr millis kRelayOverheadMs = 150;

struct relay_attempt {
  std::vector<std::string> addresses;
  std::size_t next = 0;
  platform::raw_store_request call;
  bool outcome_unknown = false;  ///< An attempt may have reached the store.
  std::function<void(result<platform::raw_store_response>)> done;
};

result<platform::raw_store_response> DecodeAnswer(const std::string& text) {
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

void TryNext(peer_link& peers, const std::shared_ptr<relay_attempt>& attempt) {
  if (attempt->next >= attempt->addresses.size()) {
    return attempt->done(failure{attempt->outcome_unknown
                                     ? failure_kind::kTimeout
                                     : failure_kind::kUnavailable,
                                 "no peer could relay the call to the store"});
  }
  const std::string address = attempt->addresses[attempt->next++];
  json::object body{{"method", attempt->call.method},
                    {"target", attempt->call.target},
                    {"body", attempt->call.body},
                    {"deadline_ms", attempt->call.deadline_ms}};
  peers.Call(address, "/peer/store", json::serialize(body),
             attempt->call.deadline_ms + kRelayOverheadMs,
             [&peers, attempt](result<std::string> answer) {
               result<platform::raw_store_response> decoded =
                   Ok(answer) ? DecodeAnswer(Value(answer)) : Error(answer);
               if (Ok(decoded)) return attempt->done(std::move(decoded));
               if (Error(decoded).kind != failure_kind::kUnavailable) {
                 attempt->outcome_unknown = true;
               }
               TryNext(peers, attempt);
             });
}

}  // namespace

void RelayThroughPeers(
    node_context& context, peer_link& peers, std::size_t sequence,
    platform::raw_store_request call,
    std::function<void(result<platform::raw_store_response>)> done) {
  auto attempt = std::make_shared<relay_attempt>();
  attempt->call = std::move(call);
  attempt->done = std::move(done);
  std::vector<member> members = context.members.Members();
  std::erase_if(members, [&](const member& node) {
    return node.name == context.settings.name;
  });
  for (std::size_t i = 0; i < members.size() && i < kMaxRelays; ++i) {
    attempt->addresses.push_back(
        members[(sequence + i) % members.size()].address);
  }
  TryNext(peers, attempt);
}

void peer_service::RelayStoreCall(const std::string& body,
                                  http::server::responder respond) {
  auto parsed = json_fields::Parse("relay", body);
  if (!Ok(parsed)) {
    return respond(
        http::ErrorResponse(400, "malformed", Error(parsed).message));
  }
  platform::raw_store_request call;
  call.method = Value(parsed).String("method");
  call.target = Value(parsed).String("target");
  call.body = Value(parsed).String("body");
  call.deadline_ms = Value(parsed).Signed("deadline_ms");
  if (!Value(parsed).Valid()) {
    return respond(
        http::ErrorResponse(400, "malformed", Value(parsed).Failure().message));
  }
  context_.store->SendRaw(std::move(call), [respond = std::move(respond)](
                                               const result<
                                                   platform::
                                                       raw_store_response>&
                                                   answer) {
    json::object out;
    if (Ok(answer)) {
      out = {{"status", Value(answer).status}, {"body", Value(answer).body}};
    } else {
      out = {{"status", 0u}, {"body", FailureKindName(Error(answer).kind)}};
    }
    respond(http::JsonResponse(200, out));
  });
}

void peer_service::Handle(const http::server_request& request,
                          http::server::responder respond) {
  const std::string& path = request.target.path;
  if (path == "/peer/store") return RelayStoreCall(request.body, respond);
  leader* local = local_leader_();
  if (!local || !local->Ready()) {
    return respond(http::ErrorResponse(503, "not_leader", "ask another node"));
  }
  const std::string id(request.target.Param("id"));
  http::server_response response;
  if (path == "/peer/job") {
    local->AddJob(id, request.body);
  } else if (path == "/peer/cancel") {
    local->CancelJob(id);
  } else if (path == "/peer/state") {
    const job_status answer = local->State(id);
    if (answer.known) response.body = sched::JobPhaseName(answer.phase);
  } else if (path == "/peer/pending") {
    response.body =
        std::to_string(local->PendingCount(request.target.Param("queue")));
  } else {
    response = http::ErrorResponse(404, "unknown_path", path);
  }
  respond(std::move(response));
}

}  // namespace radishwing::node
