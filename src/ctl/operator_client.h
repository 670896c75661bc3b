#pragma once

#include <boost/json/value.hpp>
#include <functional>
#include <string>
#include <vector>

#include "src/base/result.h"
#include "src/settings/secret_text.h"

namespace radishwing::ctl {

/// One call to the operator port of a control.
struct operator_request {
  std::string method = "GET";
  std::string target;
  std::string body;
};

/// An answer as it came from the connection.
struct raw_reply {
  int status = 0;
  std::string body;
};

/// An answer with its JSON body; null if the body was empty.
struct operator_reply {
  int status = 0;
  boost::json::value body;
};

/// Sends one request to "ip:port" and waits for the answer. kUnavailable means
/// that nothing was sent, kTimeout that the effect is unknown.
using operator_transport = std::function<result<raw_reply>(
    const std::string& address, const operator_request& request,
    const settings::secret_text& secret)>;

/// Calls the operator port of whichever control answers. One thread.
class operator_client {
 public:
  operator_client(std::vector<std::string> addresses,
                  settings::secret_text secret, operator_transport transport);

  /// Tries one control after the other until one answers. A request that
  /// changes something goes to the next control only if nothing was sent; an
  /// answer that was lost is kTimeout. Any HTTP status is an answer, but for
  /// 504, which is kTimeout too.
  result<operator_reply> Call(const operator_request& request);

  /// Calls, and turns every status but 200 into a failure with the reason and
  /// message of the control.
  result<boost::json::value> Fetch(const operator_request& request);

 private:
  result<operator_reply> Try(const std::string& address,
                             const operator_request& request);

  std::vector<std::string> addresses_;
  settings::secret_text secret_;
  operator_transport transport_;
  std::size_t preferred_ = 0;  ///< The control that answered last.
};

/// The failure that an answer with an error status stands for.
failure FailureOf(const operator_reply& reply);

}  // namespace radishwing::ctl
