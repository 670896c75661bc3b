#include "tests/node/node_fixture.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <stdexcept>

namespace radishwing::node {
namespace json = boost::json;
namespace {

// Time limit that only stops a hanging test. A test normally takes a small
// fraction of it.
constexpr std::chrono::seconds kHangTimeout{60};
constexpr millis kTaskMs = 60;

// An address with port 0: the system chooses a free port when the node binds
// it.
constexpr const char* kAnyPort = "127.0.0.1:0";
// No server listens on this port.
constexpr const char* kClosedAddress = "127.0.0.1:1";

// Returns the configuration of a queue whose paths begin with its name.
json::object MakeQueue(const std::string& name) {
  return {{"name", name},
          {"host", "h.example"},
          {"prefix", "/" + name + "/"},
          {"backend", "pool"},
          {"attempts", 2},
          {"stretch", 2.0},
          {"target-latency-ms", 600}};
}

}  // namespace

node_fixture::node_fixture() {
  PutConfig({"k1", "k2"});
  for (int i = 0; i < 3; ++i) {
    runners.push_back(std::make_unique<fleet_fake::fake_runner>(
        io, store, recorder, "w" + std::to_string(i), "pool", kTaskMs));
  }
}

node_fixture::~node_fixture() {
  nodes.clear();
  io.poll();
}

void node_fixture::PutConfig(const std::vector<std::string>& keys,
                             int extra_queues) {
  json::array listed;
  for (const std::string& key : keys) listed.emplace_back(key);
  json::array queues{MakeQueue("q")};
  for (int i = 0; i < extra_queues; ++i) {
    queues.push_back(MakeQueue("extra-" + std::to_string(i)));
  }
  store.Put("op/config",
            json::serialize(json::object{
                {"version", ++config_version},
                {"routes", queues},
                {"services", json::array{json::object{{"name", "pool"}}}},
                {"tenants", json::array{json::object{{"name", "team"},
                                                     {"api-keys", listed},
                                                     {"weight", 1}}}}}));
}

std::string node_fixture::AddNode(const std::string& name,
                                  const std::string& store_address) {
  fleet::node_settings settings;
  settings.name = name;
  settings.ip = "127.0.0.1";
  settings.data_centre = "z";
  settings.client_api_address = kAnyPort;
  settings.readiness_address = kAnyPort;
  settings.metrics_address = kAnyPort;
  settings.store_address =
      store_address.empty() ? store.Address() : store_address;
  settings.host_api_address = kClosedAddress;
  settings.cores = cores;
  settings.config_propagation_ms = config_propagation_ms;
  auto made = node_server::Make(io, settings, [] {});
  if (!Ok(made)) throw std::runtime_error(Error(made).message);
  nodes[name] = std::move(Value(made));
  return nodes[name]->ClientApiAddress();
}

std::string node_fixture::LeaderName() const {
  boost::system::error_code error;
  const json::value record = json::parse(store.Value("rw/n/shard/0"), error);
  if (error || !record.is_object()) return "";
  return record.as_object().at("node").as_string().c_str();
}

void node_fixture::KillNode(const std::string& name) { nodes.erase(name); }

bool node_fixture::RunUntil(const std::function<bool()>& condition) {
  const auto deadline = std::chrono::steady_clock::now() + kHangTimeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > deadline) return false;
    io.run_one_for(std::chrono::milliseconds(20));
  }
  return true;
}

unsigned node_fixture::Call(const std::string& client_api_address,
                            boost::beast::http::verb method,
                            const std::string& target, const std::string& body,
                            const std::string& api_key) {
  http::client_options options;
  options.address = client_api_address;
  auto made = http::client::Make(io, options);
  if (!Ok(made)) return 0;
  http::client_request request;
  request.method = method;
  request.target = target;
  request.body = body;
  request.headers = {{"Host", "h.example"}, {"X-Api-Key", api_key}};
  request.total_timeout_ms = 10000;
  bool ended = false;
  unsigned status = 0;
  Value(made)->Send(request, [&](result<http::client_response> response) {
    ended = true;
    if (!Ok(response)) return;
    status = Value(response).status;
    response_body = Value(response).body;
    retry_after =
        std::string(http::FindHeader(Value(response).headers, "Retry-After"));
  });
  RunUntil([&] { return ended; });
  return status;
}

bool node_fixture::CallUntil(const std::string& client_api_address,
                             boost::beast::http::verb method,
                             const std::string& target, unsigned status,
                             const std::string& body) {
  return RunUntil(
      [&] { return Call(client_api_address, method, target, body) == status; });
}

bool node_fixture::WaitForState(const std::string& client_api_address,
                                const std::string& id,
                                const std::string& state) {
  return RunUntil([&] {
    return Call(client_api_address, boost::beast::http::verb::get,
                "/q/" + id) == 200 &&
           response_body.find('"' + state + '"') != std::string::npos;
  });
}

std::string node_fixture::JobBody(int width, const std::string& spec) {
  const json::object step{
      {"count", width}, {"cpu", 500}, {"mem-mb", 100}, {"estimate-ms", 60}};
  json::object second = step;
  second["after"] = json::array{0};
  return json::serialize(
      json::object{{"spec", spec}, {"steps", json::array{step, second}}});
}

}  // namespace radishwing::node
