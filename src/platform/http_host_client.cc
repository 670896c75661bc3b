#include "src/platform/http_host_client.h"

#include <boost/json/value_to.hpp>
#include <stdexcept>
#include <utility>

#include "src/http/target.h"
#include "src/platform/json_access.h"
#include "src/platform/resolved_write.h"

namespace radishwing::platform {
namespace {

namespace json = boost::json;

host_state ParseState(std::string_view name) {
  if (name == "up") return host_state::kUp;
  if (name == "draining") return host_state::kDraining;
  if (name == "rebooting") return host_state::kRebooting;
  if (name == "failed") return host_state::kFailed;
  throw std::invalid_argument("unknown host state " + std::string(name));
}

std::vector<host_info> ParseHosts(const json::value& body) {
  std::vector<host_info> hosts;
  for (const json::value& item : body.at("hosts").as_array()) {
    host_info host;
    host.host = json::value_to<std::string>(item.at("host"));
    host.data_centre = json::value_to<std::string>(item.at("data_centre"));
    host.rack = json::value_to<std::string>(item.at("rack"));
    host.cores = json::value_to<std::uint32_t>(item.at("cores"));
    host.memory_mb = json::value_to<std::uint32_t>(item.at("memory_mb"));
    host.accelerators = json::value_to<std::uint32_t>(item.at("accelerators"));
    host.state = ParseState(item.at("state").as_string());
    hosts.push_back(std::move(host));
  }
  return hosts;
}

failure LostAnswer(const std::string& host) {
  return {failure_kind::kTimeout,
          "the answer was lost; the state of host " + host + " must be read"};
}

// Judges a read of the host list after a lost answer.
read_back JudgeHosts(const platform_answer& answer, const std::string& host,
                     host_state wanted, result<done>& outcome) {
  const auto hosts = ReadAnswer<std::vector<host_info>>(
      result<platform_answer>(answer), ParseHosts);
  if (!Ok(hosts)) return read_back::kReadAgain;
  outcome = failure{failure_kind::kNotFound, "no host " + host};
  for (const host_info& info : Value(hosts)) {
    if (info.host != host) continue;
    if (info.state == wanted) {
      outcome = done{};
    } else if (wanted == host_state::kRebooting) {
      outcome = LostAnswer(host);
    } else {
      return read_back::kWriteAgain;
    }
  }
  return read_back::kSettled;
}

}  // namespace

http_host_client::http_host_client(std::shared_ptr<platform_link> link)
    : link_(std::move(link)) {}

void http_host_client::List(completion<std::vector<host_info>> completion) {
  link_->Get("/v1/hosts", Reading<std::vector<host_info>>(
                              ParseHosts, std::move(completion)));
}

void http_host_client::Drain(std::string_view host,
                             completion<done> completion) {
  Change(std::string(host), "/drain", host_state::kDraining,
         std::move(completion));
}

void http_host_client::Undrain(std::string_view host,
                               completion<done> completion) {
  Change(std::string(host), "/undrain", host_state::kUp, std::move(completion));
}

void http_host_client::Reboot(std::string_view host,
                              completion<done> completion) {
  Change(std::string(host), "/reboot", host_state::kRebooting,
         std::move(completion));
}

void http_host_client::Change(std::string host, std::string verb,
                              host_state wanted, completion<done> completion) {
  resolved_write_steps<result<done>> steps;
  steps.write = [target = "/v1/hosts/" + http::EscapePath(host) + verb](
                    platform_link& link, platform_link::completion completion) {
    link.Send(boost::beast::http::verb::post, target, "",
              std::move(completion));
  };
  steps.read = [](platform_link& link, platform_link::completion completion) {
    link.Get("/v1/hosts", std::move(completion));
  };
  steps.on_write = [](const result<platform_answer>& answer,
                      bool in_doubt) -> std::optional<result<done>> {
    auto outcome =
        ReadAnswer<done>(answer, [](const json::value&) { return done{}; });
    if (!Ok(outcome) && (in_doubt || !NothingDone(Error(outcome)))) {
      return std::nullopt;
    }
    return outcome;
  };
  steps.on_read = [host, wanted](const platform_answer& answer,
                                 result<done>& outcome) {
    return JudgeHosts(answer, host, wanted, outcome);
  };
  steps.unknown = [host] { return result<done>(LostAnswer(host)); };
  resolved_write<result<done>>::Run(link_, std::move(steps),
                                    std::move(completion));
}

}  // namespace radishwing::platform
