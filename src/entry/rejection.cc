#include "src/entry/rejection.h"

#include <boost/beast/http/status.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/string.hpp>

namespace radishwing::entry {
namespace {

std::string Quoted(std::string_view text) {
  return boost::json::serialize(boost::json::string(text));
}

}  // namespace

void AppendRejection(const rejection& r, std::string_view request_id, bool keep,
                     bool head_only, std::string& out) {
  std::string body = "{\"reason\":" + Quoted(r.reason) +
                     ",\"message\":" + Quoted(r.message) +
                     ",\"request_id\":" + Quoted(request_id) + r.extra + "}\n";
  out += "HTTP/1.1 " + std::to_string(r.status) + ' ';
  out += boost::beast::http::obsolete_reason(
      static_cast<boost::beast::http::status>(r.status));
  out += "\r\nContent-Type: application/json\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n";
  if (r.outcome == requests::outcome::kNotRun) {
    out += "Radishwing-Outcome: not-run\r\n";
  } else if (r.outcome == requests::outcome::kUnknown) {
    out += "Radishwing-Outcome: unknown\r\n";
  }
  if (r.retry_after > 0) {
    out += "Retry-After: " + std::to_string(r.retry_after) + "\r\n";
  }
  if (!request_id.empty()) {
    out += "Radishwing-Request-Id: ";
    out += request_id;
    out += "\r\n";
  }
  if (r.status == 401) out += "WWW-Authenticate: Bearer\r\n";
  if (!keep) out += "Connection: close\r\n";
  out += "\r\n";
  if (!head_only) out += body;
}

void AppendJobResponse(const rpc::job_answer& job, std::string_view request_id,
                       bool keep, std::string& out) {
  out += "HTTP/1.1 " + std::to_string(job.status) + ' ';
  out += boost::beast::http::obsolete_reason(
      static_cast<boost::beast::http::status>(job.status));
  out += "\r\nContent-Type: application/json\r\nContent-Length: " +
         std::to_string(job.body.size()) + "\r\nRadishwing-Request-Id: ";
  out += request_id;
  out += keep ? "\r\n\r\n" : "\r\nConnection: close\r\n\r\n";
  out += job.body;
}

}  // namespace radishwing::entry
