#pragma once

#include <kj/exception.h>

#include "src/base/failure.h"

namespace radishwing::rpc {

/// The failure that a call which was sent ended with. Anything but a refusal
/// by the other side leaves the effect of the call unknown, also a broken
/// connection.
inline failure CallFailure(const kj::Exception& exception) {
  failure_kind kind = exception.getType() == kj::Exception::Type::UNIMPLEMENTED
                          ? failure_kind::kInternal
                          : failure_kind::kTimeout;
  return {kind, exception.getDescription().cStr()};
}

}  // namespace radishwing::rpc
