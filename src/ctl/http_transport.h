#pragma once

#include "src/base/clock.h"
#include "src/ctl/operator_client.h"

namespace radishwing::ctl {

/// A transport over HTTP/1.1 that waits at most `deadline_ms` for an answer.
/// Each call uses a connection of its own and sends the request at most once.
operator_transport MakeHttpTransport(millis deadline_ms);

}  // namespace radishwing::ctl
