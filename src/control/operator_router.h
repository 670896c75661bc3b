#pragma once

#include <functional>
#include <string>
#include <vector>

#include "src/control/operator_hooks.h"
#include "src/http/server_request.h"
#include "src/http/server_response.h"

namespace radishwing::control {

/// Turns requests of the operator port, already authenticated, into calls of
/// the hooks and their outcomes into responses.
class operator_router {
 public:
  using responder = std::function<void(http::server_response)>;

  explicit operator_router(operator_hooks hooks) : hooks_(std::move(hooks)) {}

  /// Checks the request and calls one hook. `respond` is called once, from
  /// any thread.
  void Handle(const http::server_request& request, responder respond);

 private:
  using path = std::vector<std::string>;

  void HandleGet(const path& path, const http::server_request& request,
                 responder respond);
  void HandleSettingsGet(const path& path, const http::server_request& request,
                         responder respond);
  void HandlePost(const path& path, const http::server_request& request,
                  responder respond);
  void ApplySettings(const http::server_request& request, responder respond);
  void ShowHistory(const http::server_request& request, responder respond);
  void ShowConfirmations(const http::server_request& request,
                         responder respond);
  void OrderHost(const path& path, const http::server_request& request,
                 responder respond);
  void Explain(const http::server_request& request, responder respond);
  void SetLogLevel(const http::server_request& request, responder respond);

  operator_hooks hooks_;
};

/// The response for a failure of a hook.
http::server_response FailureResponse(const failure& error);

}  // namespace radishwing::control
