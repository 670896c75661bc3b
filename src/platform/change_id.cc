#include "src/platform/change_id.h"

#include <boost/json/parse.hpp>

#include "src/base/sha256.h"

namespace radishwing::platform {

std::string NewChangeId() { return RandomHex(12); }

std::string ChangeIdOf(std::string_view value) {
  boost::system::error_code error;
  const boost::json::value parsed =
      boost::json::parse({value.data(), value.size()}, error);
  if (error || !parsed.is_object()) return {};
  const boost::json::value* id = parsed.as_object().if_contains("change_id");
  return id && id->is_string() ? std::string(id->as_string()) : std::string();
}

}  // namespace radishwing::platform
