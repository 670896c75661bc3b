#include "src/http/send_and_wait.h"

#include <optional>
#include <utility>

namespace radishwing::http {

result<client_response> SendAndWait(boost::asio::io_context& io, client& client,
                                    client_request request) {
  std::optional<result<client_response>> outcome;
  client.Send(std::move(request), [&](auto arrived) {
    outcome = std::move(arrived);
    io.stop();
  });
  io.run();
  if (!outcome) return failure{failure_kind::kTimeout, "no answer"};
  return std::move(*outcome);
}

}  // namespace radishwing::http
