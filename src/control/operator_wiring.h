#pragma once

#include "src/control/control_process.h"
#include "src/control/operator_hooks.h"

namespace radishwing::control {

/// Hooks for the operator port that run on the decide thread of `process`,
/// which must outlive the port.
operator_hooks MakeOperatorHooks(control_process& process);

}  // namespace radishwing::control
