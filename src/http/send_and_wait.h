#pragma once

#include <boost/asio/io_context.hpp>

#include "src/base/result.h"
#include "src/http/client.h"

namespace radishwing::http {

/// Sends a request and runs `io` until the request completes. `client` must
/// have been created with `io`. Intended for command-line programs, which have
/// no other work to run. Fails with the failures listed at class client, and
/// with kTimeout if `io` runs out of work before the request completes.
result<client_response> SendAndWait(boost::asio::io_context& io, client& client,
                                    client_request request);

}  // namespace radishwing::http
