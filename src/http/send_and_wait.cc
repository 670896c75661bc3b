#include "src/http/send_and_wait.h"

#include <optional>
#include <utility>

namespace radishwing::http {

result<client_response> SendAndWait(boost::asio::io_context& io, client& client,
                                    client_request request) {
  std::optional<result<client_response>> outcome;
  client.Send(std::move(request), [&](auto completed) {
    outcome = std::move(completed);
    io.stop();
  });
  io.run();
  if (!outcome)
    return failure{
        failure_kind::kTimeout,
        "no response arrived before the I/O context ran out of work"};
  return std::move(*outcome);
}

}  // namespace radishwing::http
