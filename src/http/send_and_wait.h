#pragma once

#include <boost/asio/io_context.hpp>

#include "src/base/result.h"
#include "src/http/client.h"

namespace radishwing::http {

/// Sends a request and runs `io`, the context that `client` was created with,
/// until the request completes; intended for command-line programs, which have
/// no other work to run. Fails with the failures listed at `client`, and with
/// kTimeout if `io` runs out of work first.
result<client_response> SendAndWait(boost::asio::io_context& io, client& client,
                                    client_request request);

}  // namespace radishwing::http
