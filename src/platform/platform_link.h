#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/beast/http/verb.hpp>
#include <boost/json/value.hpp>
#include <functional>
#include <memory>
#include <string>

#include "src/base/result.h"
#include "src/http/client.h"
#include "src/platform/platform_options.h"

namespace radishwing::platform {

/// Answer of the platform to one call.
struct platform_answer {
  unsigned status = 0;
  boost::json::value body;  ///< Null if the body is not JSON.
};

/// Connection to the platform, shared by its adapters. Used on the thread that
/// runs the io_context.
class platform_link {
 public:
  using completion = std::function<void(result<platform_answer>)>;

  static result<std::shared_ptr<platform_link>> Make(
      boost::asio::io_context& io, platform_options options);

  /// A read: sent again on a new connection if it breaks or stays silent.
  void Get(std::string target, completion completion);

  /// A read that the platform holds open for up to `wait_ms`. Fails with
  /// kTimeout if no answer comes within the usual silence after that.
  void LongPoll(std::string target, millis wait_ms, completion completion);

  /// A call that is sent only once. `content` is its body.
  void Send(boost::beast::http::verb method, std::string target,
            std::string content, completion completion);

  const platform_options& Options() const { return options_; }
  boost::asio::io_context& Io() const { return io_; }

 private:
  platform_link(boost::asio::io_context& io, platform_options options,
                std::unique_ptr<http::client> client);

  boost::asio::io_context& io_;
  platform_options options_;
  std::unique_ptr<http::client> client_;
};

/// The failure that an unexpected status stands for. 429 and 503 state that
/// nothing was done; other 5xx leave the effect unknown.
failure FailureOf(const platform_answer& answer);

/// True if `f` states that nothing was done.
bool NothingDone(const failure& f);

}  // namespace radishwing::platform
