#include "src/http/header_field.h"

#include <boost/beast/core/string.hpp>

namespace radishwing::http {

std::string_view FindHeader(std::span<const header_field> fields,
                            std::string_view name) {
  for (const header_field& field : fields) {
    if (boost::beast::iequals(field.name, name)) return field.value;
  }
  return {};
}

}  // namespace radishwing::http
