#include "src/settings/json_value.h"

namespace radishwing::settings {

const json_member* json_value::Find(std::string_view name) const {
  for (const json_member& member : members) {
    if (member.name == name) return &member;
  }
  return nullptr;
}

}  // namespace radishwing::settings
