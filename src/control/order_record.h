#pragma once

#include <string>
#include <string_view>

#include "src/base/result.h"
#include "src/control/host_need.h"
#include "src/control/operator_hooks.h"

namespace radishwing::control {

/// The store record `order/<data_centre>/<host>`: the last order of an operator
/// to a host. It waits there until the ledger allows it, over restarts of
/// controls.
struct order_record {
  host_order order;
  bool waiting = true;  ///< False once it is carried out.
};

std::string OrderKey(std::string_view data_centre, std::string_view host);
std::string FormatOrderRecord(const order_record& record);
result<order_record> ParseOrderRecord(std::string_view text);

/// The next step of an order.
enum class order_step {
  kDone,      ///< The host is as ordered, or on its way there.
  kWait,      ///< Another change of the host must end first.
  kDrain,     ///< Drain it, towards the pool of a move.
  kRetarget,  ///< Turn an operator's drain into a move.
  kUndrain,   ///< Ask the platform to take back its drain.
  kCancel,    ///< Return it to its pool.
};

order_step NextOrderStep(const host_facts& facts, const host_order& order);

}  // namespace radishwing::control
