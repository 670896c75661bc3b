#include "src/http/target.h"

#include <boost/url/encode.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/rfc/pchars.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>
#include <boost/url/url_view.hpp>

namespace radishwing::http {

namespace urls = boost::urls;

std::string_view target::QueryParameter(std::string_view name) const {
  const auto found = query.find(name);
  return found == query.end() ? std::string_view() : found->second;
}

result<target> ParseTarget(std::string_view text) {
  const auto parsed = urls::parse_origin_form({text.data(), text.size()});
  if (!parsed) {
    return failure{failure_kind::kInvalid, "the request target is malformed"};
  }
  target out;
  out.path = parsed->path();
  for (const auto& param : parsed->params()) {
    out.query.emplace(param.key, param.value);
  }
  return out;
}

std::string PercentEncodePath(std::string_view text) {
  return urls::encode({text.data(), text.size()}, urls::pchars + '/');
}

std::string PercentEncodeQueryValue(std::string_view text) {
  return urls::encode({text.data(), text.size()}, urls::unreserved_chars);
}

}  // namespace radishwing::http
