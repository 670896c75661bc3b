#pragma once

#include <boost/asio/io_context.hpp>

#include "src/base/result.h"
#include "src/http/client.h"

namespace radishwing::http {

/// Sends one request and runs `io`, on which `client` was made, until it is
/// answered. For command-line programs, which have nothing else to do. Fails as
/// client::Send does, and with kTimeout if `io` ran out of work before.
result<client_response> SendAndWait(boost::asio::io_context& io, client& client,
                                    client_request request);

}  // namespace radishwing::http
