#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>

#include "tools/platform_fake/platform_fake_impl.h"

namespace radishwing::platform_fake {

http::server_response platform_fake::impl::RouteHosts(
    const http::server_request& request, std::string_view kind) {
  if (kind == "hosts") return http::JsonResponse(200, hosts.HostsJson());
  if (kind == "live") return http::JsonResponse(200, hosts.LiveJson(Now()));
  if (kind == "runner") {
    hosts.Announce(boost::json::parse(request.body).as_object(), Now());
    return http::JsonResponse(200, boost::json::object());
  }
  if (kind != "host_change") {
    return http::ErrorResponse(404, "no_such_call", "unknown path");
  }
  const std::string_view rest =
      std::string_view(request.target.path)
          .substr(std::string_view("/v1/hosts/").size());
  const std::size_t slash = rest.rfind('/');
  if (slash == std::string_view::npos) {
    return http::ErrorResponse(404, "no_such_call", "unknown path");
  }
  const std::string_view host = rest.substr(0, slash);
  const std::string_view verb = rest.substr(slash + 1);
  if (!hosts.Find(host)) {
    return http::ErrorResponse(404, "no_host", "no such host");
  }
  const bool changed = (verb == "drain" && hosts.Drain(host, Now())) ||
                       (verb == "undrain" && hosts.Undrain(host, Now())) ||
                       (verb == "reboot" && hosts.Reboot(host, Now()));
  if (!changed) {
    return http::ErrorResponse(409, "host_state",
                               "the host's state does not allow this");
  }
  tasks.Tick(Now());
  return http::JsonResponse(200, {{"host", host}});
}

}  // namespace radishwing::platform_fake
