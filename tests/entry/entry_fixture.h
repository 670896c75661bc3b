#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "src/base/sha256.h"
#include "src/entry/entry_server.h"
#include "tests/entry/http_caller.h"
#include "tools/runner_fake/runner_fake.h"

namespace radishwing::entry {

/// Waits until `condition` holds. The bound only ends a hung test.
bool WaitUntil(const std::function<bool()>& condition);

/// An entry, fake runners and a link whose answers the test sets, in one
/// process. Team "uva" has key "key-uva" and may run 16 requests at once.
class entry_fixture {
 public:
  entry_fixture();
  ~entry_fixture();

  /// Starts the entry with `runners` runners of service "sums". Options and
  /// settings may be changed before.
  void Start(std::size_t runners);
  void AddRunner(fake::runner_options runner_options = {});
  void PushSnapshot();
  settings::service_settings& Service() { return settings.services["sums"]; }
  settings::team_settings& Team() { return settings.teams["uva"]; }

  /// A caller connected to the entry.
  http_caller Caller() { return http_caller(server->CallerAddress()); }

  /// One request on a connection of its own, with the key of the team.
  http_answer Send(std::string_view method, std::string_view target,
                   std::map<std::string, std::string> headers = {},
                   std::string_view body = {});
  /// Likewise, marked idempotent.
  http_answer SendIdempotent(std::string_view target);

  std::size_t Runs() const;        ///< Requests started by all runners.
  std::uint64_t Attempts() const;  ///< Requests received by all runners.
  std::uint32_t TokensOut();       ///< Granted and not returned.

  entry_options options;
  settings::fleet_settings settings;
  std::vector<std::unique_ptr<fake::runner_fake>> runners;
  std::vector<routing::runner_info> infos;
  std::unique_ptr<entry_server> server;
  link_port port;

  // Behaviour of the fake link; may be changed before Start.
  std::uint32_t token_limit = 16;
  millis cut_off_ms = 0;
  std::function<result<requests::claim_answer>(const requests::claim&)>
      on_claim;
  struct finish_call {
    std::string id;
    requests::outcome outcome;
    std::uint16_t status;
  };
  std::vector<finish_call> Finished();

 private:
  void MakePort();

  std::mutex mutex_;
  std::map<std::string, std::uint32_t> tokens_out_;
  std::vector<finish_call> finished_;
  std::map<std::string, requests::claim_answer> claims_;
  std::uint64_t table_version_ = 0;
};

}  // namespace radishwing::entry
