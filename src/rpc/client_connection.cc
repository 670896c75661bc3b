#include "src/rpc/client_connection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <memory>
#include <utility>

#include "src/base/sha256.h"
#include "src/rpc/convert.h"
#include "src/rpc/gate_connection.h"
#include "src/rpc/handshake.h"

namespace radishwing::rpc {
namespace {

kj::Promise<kj::Own<client_connection>> Connect(kj::AsyncIoContext& io,
                                                const std::string& address) {
  return io.provider->getNetwork()
      .parseAddress(address.c_str())
      .then([](kj::Own<kj::NetworkAddress> at) {
        auto connecting = at->connect();
        return connecting.attach(std::move(at));
      })
      .then([](kj::Own<kj::AsyncIoStream> stream) {
        int on = 1;
        stream->setsockopt(IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        return kj::heap<client_connection>(std::move(stream));
      });
}

void CheckAccept(const std::string& mac, const std::string& secret,
                 const handshake_nonces& nonces) {
  KJ_REQUIRE(EqualConstantTime(mac, AcceptMac(secret, nonces)),
             "the other side did not prove the fleet secret");
}

/// One handshake in progress.
struct handshake {
  join_options options;
  handshake_nonces nonces;
  kj::Own<client_connection> connection;
};

kj::Promise<std::shared_ptr<handshake>> Begin(kj::AsyncIoContext& io,
                                              join_options options) {
  auto state = std::make_shared<handshake>();
  state->options = std::move(options);
  return Connect(io, state->options.address)
      .then([state](kj::Own<client_connection> connection) {
        state->connection = std::move(connection);
        return state->connection->Bootstrap().challengeRequest().send();
      })
      .then([state](capnp::Response<Gate::ChallengeResults> reply) {
        state->nonces.server = ToString(reply.getServerNonce());
        state->nonces.client = MakeNonce();
        return state;
      });
}

template <typename Request>
void FillJoin(Request& request, join_role role, const handshake& state) {
  Write(state.options.self, request.initHello());
  request.setServerNonce(ToText(state.nonces.server));
  request.setClientNonce(ToText(state.nonces.client));
  request.setMac(ToText(JoinMac(state.options.fleet_secret, role, state.nonces,
                                state.options.self)));
}

kj::Promise<kj::Own<joined_entry>> FinishEntry(
    std::shared_ptr<handshake> state) {
  auto request = state->connection->Bootstrap().joinEntryRequest();
  FillJoin(request, join_role::kEntry, *state);
  return request.send().then(
      [state](capnp::Response<Gate::JoinEntryResults> reply) {
        CheckAccept(ToString(reply.getMac()), state->options.fleet_secret,
                    state->nonces);
        return kj::heap<joined_entry>(
            joined_entry{std::move(state->connection), reply.getSession()});
      });
}

kj::Promise<kj::Own<joined_peer>> FinishPeer(std::shared_ptr<handshake> state) {
  auto request = state->connection->Bootstrap().joinPeerRequest();
  FillJoin(request, join_role::kPeer, *state);
  return request.send().then([state](
                                 capnp::Response<Gate::JoinPeerResults> reply) {
    CheckAccept(ToString(reply.getMac()), state->options.fleet_secret,
                state->nonces);
    return kj::heap<joined_peer>(joined_peer{
        std::move(state->connection), reply.getPeer(), Read(reply.getHello())});
  });
}

}  // namespace

client_connection::client_connection(kj::Own<kj::AsyncIoStream> stream)
    : stream_(std::move(stream)),
      network_(*stream_, capnp::rpc::twoparty::Side::CLIENT, MessageLimits()),
      rpc_(capnp::makeRpcClient(network_)) {}

Gate::Client client_connection::Bootstrap() {
  capnp::MallocMessageBuilder message(8);
  auto server = message.initRoot<capnp::rpc::twoparty::VatId>();
  server.setSide(capnp::rpc::twoparty::Side::SERVER);
  return rpc_.bootstrap(server).castAs<Gate>();
}

kj::Promise<kj::Own<joined_entry>> JoinAsEntry(kj::AsyncIoContext& io,
                                               join_options options) {
  kj::Duration deadline = options.deadline_ms * kj::MILLISECONDS;
  return io.provider->getTimer().timeoutAfter(
      deadline,
      Begin(io, std::move(options)).then([](std::shared_ptr<handshake> state) {
        return FinishEntry(std::move(state));
      }));
}

kj::Promise<kj::Own<joined_peer>> JoinAsPeer(kj::AsyncIoContext& io,
                                             join_options options) {
  kj::Duration deadline = options.deadline_ms * kj::MILLISECONDS;
  return io.provider->getTimer().timeoutAfter(
      deadline,
      Begin(io, std::move(options)).then([](std::shared_ptr<handshake> state) {
        return FinishPeer(std::move(state));
      }));
}

}  // namespace radishwing::rpc
