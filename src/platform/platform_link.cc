#include "src/platform/platform_link.h"

#include <boost/json/parse.hpp>
#include <utility>

namespace radishwing::platform {
namespace {

platform_answer ParseAnswer(const http::client_response& response) {
  platform_answer answer;
  answer.status = response.status;
  boost::system::error_code error;
  answer.body = boost::json::parse(response.body, error);
  if (error) answer.body = nullptr;
  return answer;
}

http::client::completion Translate(platform_link::completion completion) {
  return [completion =
              std::move(completion)](result<http::client_response> outcome) {
    if (!Ok(outcome)) {
      failure f = Error(outcome);
      // A full client has not sent the request.
      if (f.kind == failure_kind::kFull) f.kind = failure_kind::kUnavailable;
      completion(std::move(f));
      return;
    }
    completion(ParseAnswer(Value(outcome)));
  };
}

}  // namespace

platform_link::platform_link(boost::asio::io_context& io,
                             platform_options options,
                             std::unique_ptr<http::client> client)
    : io_(io), options_(std::move(options)), client_(std::move(client)) {}

result<std::shared_ptr<platform_link>> platform_link::Make(
    boost::asio::io_context& io, platform_options options) {
  http::client_options limits;
  limits.address = options.address;
  auto client = http::client::Make(io, limits);
  if (!Ok(client)) return Error(client);
  return std::shared_ptr<platform_link>(
      new platform_link(io, std::move(options), std::move(Value(client))));
}

void platform_link::Get(std::string target, completion completion) {
  http::client_request request;
  request.target = std::move(target);
  request.repeatable = true;
  request.deadline_ms = options_.call_ms;
  request.attempt_ms = options_.attempt_ms;
  client_->Send(std::move(request), Translate(std::move(completion)));
}

void platform_link::LongPoll(std::string target, millis wait_ms,
                             completion completion) {
  http::client_request request;
  request.target = std::move(target);
  request.deadline_ms = wait_ms + options_.attempt_ms;
  client_->Send(std::move(request), Translate(std::move(completion)));
}

void platform_link::Send(boost::beast::http::verb method, std::string target,
                         std::string content, completion completion) {
  http::client_request request;
  request.method = method;
  request.target = std::move(target);
  request.body = std::move(content);
  request.deadline_ms = options_.call_ms;
  client_->Send(std::move(request), Translate(std::move(completion)));
}

failure FailureOf(const platform_answer& answer) {
  std::string text = "the platform answered " + std::to_string(answer.status);
  if (answer.body.is_object()) {
    const auto* reason = answer.body.as_object().if_contains("reason");
    if (reason && reason->is_string()) {
      text += " " + std::string(reason->as_string());
    }
  }
  switch (answer.status) {
    case 404:
    case 410:
      return {failure_kind::kNotFound, text};
    case 409:
      return {failure_kind::kConflict, text};
    case 429:
    case 503:
      return {failure_kind::kUnavailable, text};
    default:
      break;
  }
  const bool refused = answer.status >= 400 && answer.status < 500;
  return {refused ? failure_kind::kInvalid : failure_kind::kInternal, text};
}

bool NothingDone(const failure& f) {
  return f.kind != failure_kind::kTimeout && f.kind != failure_kind::kInternal;
}

}  // namespace radishwing::platform
