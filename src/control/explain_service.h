#pragma once

#include <string>
#include <vector>

#include "src/control/host_duty.h"
#include "src/control/operator_hooks.h"
#include "src/control/token_service.h"

namespace radishwing::control {

/// Answers why something does not happen, as far as this control knows. Used
/// on the decide thread.
class explain_service {
 public:
  explain_service(host_board& board, host_duty& duty, token_service& tokens)
      : board_(board), duty_(duty), tokens_(tokens) {}

  /// How long this data centre is cut off, in ms.
  std::function<millis()> cut_off_ms;

  void Explain(const explain_subject& subject, json_completion completion);

 private:
  using reasons = std::vector<std::string>;

  reasons OfHost(const std::string& host);
  reasons OfTeam(const std::string& team);
  reasons OfRequest();
  void AddCutOff(reasons& list);

  host_board& board_;
  host_duty& duty_;
  token_service& tokens_;
};

}  // namespace radishwing::control
