#pragma once

#include <functional>
#include <memory>
#include <string>

namespace radishwing::control {

/// TCP forwarders between the controls of a test, so that links can be cut or
/// fall silent. Each control advertises its forwarder's address.
class test_network {
 public:
  test_network();
  ~test_network();

  /// Adds a forwarder for `host`, unless it exists, and returns its "ip:port".
  /// Host names must not be a part of other data: connections are told apart by
  /// the caller's name in the handshake.
  std::string Add(const std::string& host);

  /// Where the forwarder of `host` connects to.
  void SetTarget(const std::string& host, const std::string& address);

  /// Holds back all bytes from and to `host`, on open and new connections,
  /// without closing any.
  void Isolate(const std::string& host);

  /// Ends Isolate. Connections that fell silent stay silent for good.
  void Join(const std::string& host);

  /// Makes the connections that are open now silent; new ones work.
  void SilenceOpenConnections();

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace radishwing::control
