#include "src/ctl/operator_client.h"

#include <boost/json/parse.hpp>

#include "src/ctl/json_field.h"

namespace radishwing::ctl {

operator_client::operator_client(std::vector<std::string> addresses,
                                 settings::secret_text secret,
                                 operator_transport transport)
    : addresses_(std::move(addresses)),
      secret_(std::move(secret)),
      transport_(std::move(transport)) {}

result<operator_reply> operator_client::Try(const std::string& address,
                                            const operator_request& request) {
  result<raw_reply> raw = transport_(address, request, secret_);
  if (!Ok(raw)) return Error(raw);
  operator_reply reply{Value(raw).status, nullptr};
  if (reply.status == 504) {
    return failure{failure_kind::kTimeout,
                   address + ": the control did not learn the outcome"};
  }
  if (Value(raw).body.empty()) return reply;
  boost::json::error_code error;
  reply.body = boost::json::parse(Value(raw).body, error);
  if (error) {
    // The request may have had its effect before the answer was damaged.
    return failure{request.method == "GET" ? failure_kind::kInternal
                                           : failure_kind::kTimeout,
                   address + ": answer with status " +
                       std::to_string(reply.status) + " is no JSON"};
  }
  return reply;
}

result<operator_reply> operator_client::Call(const operator_request& request) {
  failure last{failure_kind::kUnavailable, "no control address is given"};
  for (std::size_t i = 0; i < addresses_.size(); ++i) {
    const std::size_t index = (preferred_ + i) % addresses_.size();
    result<operator_reply> reply = Try(addresses_[index], request);
    if (Ok(reply)) {
      preferred_ = index;
      return reply;
    }
    last = Error(reply);
    const bool may_repeat =
        request.method == "GET" || last.kind == failure_kind::kUnavailable;
    if (!may_repeat) return last;
  }
  return last;
}

result<boost::json::value> operator_client::Fetch(
    const operator_request& request) {
  result<operator_reply> reply = Call(request);
  if (!Ok(reply)) return Error(reply);
  if (Value(reply).status != 200) return FailureOf(Value(reply));
  return std::move(Value(reply).body);
}

failure FailureOf(const operator_reply& reply) {
  failure_kind kind = failure_kind::kInternal;
  if (reply.status == 400) kind = failure_kind::kInvalid;
  if (reply.status == 401 || reply.status == 403) kind = failure_kind::kDenied;
  if (reply.status == 404) kind = failure_kind::kNotFound;
  if (reply.status == 409) kind = failure_kind::kConflict;
  if (reply.status == 413) kind = failure_kind::kInvalid;
  if (reply.status == 503) kind = failure_kind::kUnavailable;
  const std::string reason = TextField(reply.body, "reason");
  const std::string message = TextField(reply.body, "message");
  if (message.empty()) {
    return failure{kind, "the control answered with status " +
                             std::to_string(reply.status)};
  }
  return failure{kind, reason.empty() ? message : reason + ": " + message};
}

}  // namespace radishwing::ctl
