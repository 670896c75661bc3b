#include "src/settings/node.h"

namespace radishwing::settings {

const node_member* node::Find(std::string_view name) const {
  for (const node_member& member : members) {
    if (member.name == name) return &member;
  }
  return nullptr;
}

}  // namespace radishwing::settings
