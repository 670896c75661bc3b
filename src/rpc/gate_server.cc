#include "src/rpc/gate_server.h"

#include <capnp/rpc-twoparty.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

#include <map>
#include <utility>

#include "src/base/log.h"
#include "src/rpc/gate_connection.h"

namespace radishwing::rpc {
namespace {

struct connection {
  connection(kj::Own<kj::AsyncIoStream> connected, Gate::Client gate)
      : stream(std::move(connected)),
        network(*stream, capnp::rpc::twoparty::Side::SERVER, MessageLimits()),
        rpc(capnp::makeRpcServer(network, gate)) {}

  kj::Own<kj::AsyncIoStream> stream;
  capnp::TwoPartyVatNetwork network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc;
};

}  // namespace

struct gate_server::impl : private kj::TaskSet::ErrorHandler {
  impl(kj::AsyncIoContext& context, gate_options gate_settings,
       gate_hooks gate_callbacks)
      : io(context),
        options(std::move(gate_settings)),
        hooks(std::move(gate_callbacks)),
        alive(std::make_shared<bool>(true)),
        tasks(*this) {}

  // Connections that end here may still call their closer.
  ~impl() { alive.reset(); }

  void taskFailed(kj::Exception&& exception) override {
    LogWarning("rpc", std::string("connection task failed, reason=") +
                          exception.getDescription().cStr());
  }

  kj::Promise<void> AcceptLoop() {
    return receiver->accept()
        .then([this](kj::Own<kj::AsyncIoStream> stream) {
          Serve(std::move(stream));
        })
        .catch_([this](kj::Exception&& exception) {
          // One broken connection, or no free descriptor, must not end the
          // listening.
          taskFailed(std::move(exception));
          return io.provider->getTimer().afterDelay(10 * kj::MILLISECONDS);
        })
        .then([this] { return AcceptLoop(); });
  }

  void Serve(kj::Own<kj::AsyncIoStream> stream) {
    if (connections.size() >= options.connections_max) {
      LogWarning("rpc", "connection closed, too many are open");
      return;
    }
    int on = 1;
    stream->setsockopt(IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    std::uint64_t id = ++last_id;
    auto progress = std::make_shared<gate_progress>();
    progress->close = [this, id, watch = std::weak_ptr<bool>(alive)] {
      if (!watch.expired()) Drop(id);
    };
    auto served = std::make_unique<connection>(
        std::move(stream), MakeGate(options, hooks, progress));
    tasks.add(served->network.onDisconnect().then([this, id] { Drop(id); }));
    tasks.add(io.provider->getTimer()
                  .afterDelay(options.join_deadline_ms * kj::MILLISECONDS)
                  .then([this, id, progress] {
                    if (!progress->joined) Drop(id);
                  }));
    connections.emplace(id, std::move(served));
  }

  // Later, because a connection may ask for its own end.
  void Drop(std::uint64_t id) {
    tasks.add(kj::evalLater([this, id] { connections.erase(id); }));
  }

  kj::AsyncIoContext& io;
  gate_options options;
  gate_hooks hooks;
  std::shared_ptr<bool> alive;  // Expires with this object.
  std::uint64_t last_id = 0;
  kj::Own<kj::ConnectionReceiver> receiver;
  std::map<std::uint64_t, std::unique_ptr<connection>> connections;
  kj::TaskSet tasks;
};

gate_server::gate_server(kj::AsyncIoContext& io, gate_options options,
                         gate_hooks hooks)
    : impl_(std::make_unique<impl>(io, std::move(options), std::move(hooks))) {}

gate_server::~gate_server() = default;

kj::Promise<std::string> gate_server::Listen(std::string address) {
  auto parsed = impl_->io.provider->getNetwork().parseAddress(address.c_str());
  return parsed.then([this, address](kj::Own<kj::NetworkAddress> at) {
    impl_->receiver = at->listen();
    impl_->tasks.add(impl_->AcceptLoop());
    std::string ip = address.substr(0, address.rfind(':'));
    return ip + ':' + std::to_string(impl_->receiver->getPort());
  });
}

void gate_server::SetSelf(hello self) { impl_->options.self = std::move(self); }

void gate_server::StopListening() {
  impl_->tasks.add(kj::evalLater([this] { impl_->receiver = nullptr; }));
}

std::size_t gate_server::Connections() const {
  return impl_->connections.size();
}

}  // namespace radishwing::rpc
