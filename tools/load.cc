/// HTTP load generator for the demo and the benches. Sends requests over a
/// fixed number of connections, in turn to each target as a load balancer
/// would, and writes one line per request for radishwing-tally.
#include <CLI/CLI.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "tools/load/load_options.h"
#include "tools/load/load_record.h"
#include "tools/load/load_summary.h"

namespace radishwing::tools {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using steady = std::chrono::steady_clock;

constexpr auto kToken = asio::as_tuple(asio::use_awaitable);

/// How long a target that refused a connection is left out of the rotation.
constexpr std::chrono::milliseconds kTargetPause{300};

struct target_state {
  tcp::endpoint endpoint;
  steady::time_point retry_at{};
};

/// One open connection and the index of its target.
struct connection {
  explicit connection(asio::io_context& context) : stream(context) {}
  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  std::size_t target = 0;
};

class load_run {
 public:
  load_run(asio::io_context& context, load_options options)
      : context_(context),
        options_(std::move(options)),
        random_(options_.seed) {}

  bool Prepare() {
    for (const std::string& text : options_.targets) {
      auto endpoint = ParseEndpoint(text);
      if (!endpoint) {
        std::cerr << "load: target \"" << text << "\" is not ip:port\n";
        return false;
      }
      targets_.push_back({*endpoint, {}});
    }
    if (!options_.record_file.empty()) {
      records_.open(options_.record_file, std::ios::app);
      if (!records_) {
        std::cerr << "load: cannot open " << options_.record_file << "\n";
        return false;
      }
    }
    return true;
  }

  void Start() {
    start_ = steady::now();
    asio::co_spawn(context_, Run(), asio::detached);
  }

  int Report() {
    const double seconds =
        std::chrono::duration<double>(steady::now() - start_).count();
    std::cout << summary_.Format(seconds) << std::endl;
    return 0;
  }

 private:
  static std::optional<tcp::endpoint> ParseEndpoint(const std::string& text) {
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) return std::nullopt;
    beast::error_code error;
    const auto address = asio::ip::make_address(text.substr(0, colon), error);
    if (error) return std::nullopt;
    return tcp::endpoint(address, static_cast<std::uint16_t>(
                                      std::atoi(text.c_str() + colon + 1)));
  }

  bool MoreToSend() const {
    if (options_.requests > 0 && issued_ >= options_.requests) return false;
    return options_.seconds <= 0 ||
           steady::now() - start_ <
               std::chrono::duration<double>(options_.seconds);
  }

  asio::awaitable<void> Run() {
    for (int i = 0; i < options_.idle_connections; ++i) {
      std::unique_ptr<connection> open;
      load_record record = NewRecord(-1, i);
      co_await Send(open, record);
      if (open) idle_.push_back(std::move(open));
    }
    start_ = steady::now();
    workers_left_ = options_.connections;
    for (int i = 0; i < options_.connections; ++i) {
      asio::co_spawn(context_, Worker(i), asio::detached);
    }
  }

  /// Paces the whole run to the wanted rate; a rate of 0 means closed loop.
  asio::awaitable<void> Pace(std::uint64_t sequence) {
    if (options_.rate <= 0) co_return;
    const auto due =
        start_ + std::chrono::duration_cast<steady::duration>(
                     std::chrono::duration<double>(sequence / options_.rate));
    asio::steady_timer timer(context_, due);
    co_await timer.async_wait(kToken);
  }

  asio::awaitable<void> Worker(int worker) {
    std::unique_ptr<connection> open;
    while (MoreToSend()) {
      const std::uint64_t sequence = issued_++;
      co_await Pace(sequence);
      load_record record = NewRecord(worker, sequence);
      co_await Send(open, record);
      Finish(record);
    }
    if (--workers_left_ == 0) idle_.clear();
  }

  load_record NewRecord(int worker, std::uint64_t sequence) {
    load_record record;
    record.id = options_.id_prefix + "-" + std::to_string(worker) + "-" +
                std::to_string(sequence);
    record.idempotent = std::uniform_real_distribution<double>()(random_) <
                        options_.idempotent_ratio;
    record.service = options_.services[sequence % options_.services.size()];
    if (!options_.keys.empty()) {
      record.team = options_.keys[sequence % options_.keys.size()].team;
    }
    return record;
  }

  http::request<http::string_body> MakeRequest(const load_record& record) {
    http::request<http::string_body> request;
    request.version(11);
    request.method(options_.body_bytes > 0 ? http::verb::post
                                           : http::verb::get);
    std::string path = options_.path;
    if (!record.service.empty()) path = "/" + record.service + path;
    request.target(path);
    request.set(http::field::host, "radishwing");
    if (options_.send_identifiers) {
      request.set("Radishwing-Request-Id", record.id);
    }
    request.set("Radishwing-Idempotent", record.idempotent ? "true" : "false");
    if (!options_.work_class.empty()) {
      request.set("Radishwing-Class", options_.work_class);
    }
    for (const team_credential& key : options_.keys) {
      if (key.team != record.team) continue;
      request.set(http::field::authorization, "Bearer " + key.key);
    }
    request.body().assign(options_.body_bytes, 'x');
    request.prepare_payload();
    return request;
  }

  /// Takes the next target that is not paused. With every target paused, the
  /// least recently tried one is taken.
  std::size_t NextTarget() {
    for (std::size_t i = 0; i < targets_.size(); ++i) {
      const std::size_t candidate = next_target_++ % targets_.size();
      if (targets_[candidate].retry_at <= steady::now()) return candidate;
    }
    return next_target_++ % targets_.size();
  }

  /// Connects to some target. Nothing has been sent before it returns true.
  asio::awaitable<bool> Connect(std::unique_ptr<connection>& open) {
    const auto give_up = steady::now() + std::chrono::seconds(10);
    while (steady::now() < give_up) {
      auto fresh = std::make_unique<connection>(context_);
      fresh->target = NextTarget();
      fresh->stream.expires_after(std::chrono::seconds(2));
      auto [error] = co_await fresh->stream.async_connect(
          targets_[fresh->target].endpoint, kToken);
      if (!error) {
        fresh->stream.socket().set_option(tcp::no_delay(true));
        open = std::move(fresh);
        co_return true;
      }
      targets_[fresh->target].retry_at = steady::now() + kTargetPause;
      asio::steady_timer timer(context_, std::chrono::milliseconds(20));
      co_await timer.async_wait(kToken);
    }
    co_return false;
  }

  asio::awaitable<void> Send(std::unique_ptr<connection>& open,
                             load_record& record) {
    if (!open && !co_await Connect(open)) {
      record.outcome = load_outcome::kNotSent;
      co_return;
    }
    const auto begin = steady::now();
    open->stream.expires_after(std::chrono::milliseconds(options_.timeout_ms));
    const auto request = MakeRequest(record);
    auto [write_error, written] =
        co_await http::async_write(open->stream, request, kToken);
    http::response<http::string_body> response;
    beast::error_code read_error = write_error;
    if (!write_error) {
      auto [error, bytes] = co_await http::async_read(
          open->stream, open->buffer, response, kToken);
      read_error = error;
    }
    record.latency_us = std::chrono::duration_cast<std::chrono::microseconds>(
                            steady::now() - begin)
                            .count();
    Classify(read_error, response, record);
    if (read_error || response.need_eof() || !response.keep_alive() ||
        options_.reconnect) {
      open.reset();
    }
  }

  void Classify(beast::error_code error,
                const http::response<http::string_body>& response,
                load_record& record) {
    if (error) {
      record.outcome = load_outcome::kUnknown;
      return;
    }
    record.status = response.result_int();
    const auto outcome = response["Radishwing-Outcome"];
    if (outcome == "not-run") {
      record.outcome = load_outcome::kRefused;
    } else if (outcome == "unknown") {
      record.outcome = load_outcome::kUnknown;
    } else {
      record.outcome = load_outcome::kAnswered;
    }
    // The runner stand-in repeats the identifier, which shows that the answer
    // belongs to this request.
    const auto echoed = response["Radishwing-Request-Id"];
    record.mismatched = options_.send_identifiers &&
                        record.outcome == load_outcome::kAnswered &&
                        !echoed.empty() && echoed != record.id;
  }

  void Finish(const load_record& record) {
    summary_.Add(record);
    if (records_.is_open()) records_ << FormatLoadRecord(record) << '\n';
  }

  asio::io_context& context_;
  load_options options_;
  std::mt19937_64 random_;
  std::vector<target_state> targets_;
  std::size_t next_target_ = 0;
  std::uint64_t issued_ = 0;
  int workers_left_ = 0;
  std::vector<std::unique_ptr<connection>> idle_;
  steady::time_point start_;
  std::ofstream records_;
  load_summary summary_;
};

}  // namespace
}  // namespace radishwing::tools

int main(int argc, char** argv) {
  radishwing::tools::load_options options;
  if (auto exit_code = radishwing::tools::ParseLoadOptions(argc, argv, options);
      exit_code >= 0) {
    return exit_code;
  }
  boost::asio::io_context context(1);
  radishwing::tools::load_run run(context, options);
  if (!run.Prepare()) return 2;
  run.Start();
  context.run();
  return run.Report();
}
