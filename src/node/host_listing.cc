#include "src/node/host_controller_impl.h"

namespace radishwing::node {

std::vector<sched::pool_host> host_controller::Hosts() const {
  return impl_->PlannerHosts();
}

}  // namespace radishwing::node
