#include "src/http/server_response.h"

#include <boost/json/serialize.hpp>

namespace radishwing::http {

server_response MakeJsonResponse(unsigned status,
                                 const boost::json::value& body) {
  server_response response;
  response.status = status;
  response.body = boost::json::serialize(body);
  return response;
}

server_response MakeErrorResponse(unsigned status, std::string_view reason,
                                  std::string_view message) {
  return MakeJsonResponse(status, {{"reason", reason}, {"message", message}});
}

}  // namespace radishwing::http
