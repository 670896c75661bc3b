#include "tools/runner_fake/runner_session.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json.hpp>
#include <charconv>
#include <chrono>

namespace radishwing::fake {

namespace http = boost::beast::http;
using boost::beast::error_code;

namespace {
constexpr std::uint64_t kBodyMax = 256ull << 20;
}  // namespace

runner_session::runner_session(runner_state& state,
                               boost::asio::ip::tcp::socket socket)
    : state_(state), socket_(std::move(socket)) {}

runner_session::~runner_session() {
  if (has_slot_) --state_.running;
  state_.sessions.erase(this);
}

void runner_session::Close() {
  error_code ignored;
  socket_.close(ignored);
  if (timer_) timer_->cancel();
}

void runner_session::Read() {
  parser_.emplace();
  parser_->body_limit(kBodyMax);
  http::async_read(socket_, buffer_, *parser_,
                   [self = shared_from_this()](error_code error, std::size_t) {
                     if (!error && !self->silent_) self->OnRequest();
                     if (!error && self->silent_) self->Read();
                   });
}

void runner_session::OnRequest() {
  const auto& request = parser_->get();
  if (request.method() == http::verb::post && request.target() == "/fault") {
    return HandleFault();
  }
  if (request.target() == "/records") return HandleRecords();
  state_.attempts.fetch_add(1, std::memory_order_relaxed);
  if (state_.running >= state_.options.slots) {
    response_ = {};
    response_.set("Runner-Outcome", "not-run");
    return Answer(503, "all slots are in use\n");
  }
  Run();
}

void runner_session::Run() {
  const auto& request = parser_->get();
  ++state_.running;
  has_slot_ = true;
  record_ = state_.Start({std::string(request["Radishwing-Request-Id"]),
                          std::string(request["Radishwing-Run"]),
                          std::string(request["Radishwing-Team"])});
  response_ = {};
  if (state_.fault.mode == runner_fault_mode::kDieBefore) return Close();
  if (state_.fault.mode == runner_fault_mode::kFailAll) {
    state_.Complete(record_);
    return Answer(500, "failed\n");
  }
  std::uint64_t wait = Query("work_ms");
  if (state_.fault.mode == runner_fault_mode::kLate) {
    wait += static_cast<std::uint64_t>(state_.fault.delay_ms);
  }
  if (wait == 0) return FinishRun();
  if (!timer_) timer_.emplace(state_.context);
  timer_->expires_after(std::chrono::milliseconds(wait));
  timer_->async_wait([self = shared_from_this()](error_code error) {
    if (!error) self->FinishRun();
  });
}

void runner_session::FinishRun() {
  if (silent_) return;
  state_.Complete(record_);
  if (state_.fault.mode == runner_fault_mode::kDieDuring) return AnswerHalf();
  Answer(200, Body());
}

std::string runner_session::Body() const {
  if (Query("echo") != 0) return parser_->get().body();
  std::uint64_t bytes = Query("bytes");
  if (bytes > 0) return std::string(std::min(bytes, kBodyMax), 'x');
  return "ok " + std::string(parser_->get()["Radishwing-Request-Id"]) + "\n";
}

void runner_session::Answer(unsigned status, std::string body) {
  if (has_slot_) --state_.running;
  has_slot_ = false;
  response_.result(status);
  response_.keep_alive(parser_->get().keep_alive());
  if (state_.fault.mode == runner_fault_mode::kLeave) {
    response_.set("Runner-State", "leaving");
  }
  response_.body() = std::move(body);
  if (Query("chunked") != 0) {
    response_.chunked(true);
  } else {
    response_.prepare_payload();
  }
  bool keep = response_.keep_alive() &&
              state_.fault.mode != runner_fault_mode::kDieAfter;
  http::async_write(
      socket_, response_,
      [self = shared_from_this(), keep](error_code error, std::size_t) {
        self->OnWritten(!error && keep);
      });
}

void runner_session::OnWritten(bool keep) {
  if (!keep) return Close();
  Read();
}

void runner_session::AnswerHalf() {
  std::string body = Body();
  auto text = std::make_shared<std::string>(
      "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
      "\r\n\r\n" + body.substr(0, body.size() / 2));
  boost::asio::async_write(socket_, boost::asio::buffer(*text),
                           [self = shared_from_this(), text](
                               error_code, std::size_t) { self->Close(); });
}

void runner_session::HandleFault() {
  response_ = {};
  error_code error;
  auto value = boost::json::parse(parser_->get().body(), error);
  const auto* object = error ? nullptr : value.if_object();
  const auto* mode = object ? object->if_contains("mode") : nullptr;
  auto known = mode && mode->is_string()
                   ? RunnerFaultFromName(mode->as_string())
                   : std::nullopt;
  if (!known) return Answer(400, "unknown fault mode\n");
  runner_fault fault{*known, 0};
  if (const auto* delay = object->if_contains("delay_ms")) {
    if (delay->is_int64()) fault.delay_ms = delay->as_int64();
  }
  state_.set_fault(fault, this);
  Answer(200, "{}\n");
}

void runner_session::HandleRecords() {
  response_ = {};
  boost::json::array list;
  for (const run_record& record : state_.Records()) {
    list.push_back({{"id", record.id},
                    {"run", record.run},
                    {"team", record.team},
                    {"started", record.started_ms},
                    {"completed", record.completed_ms}});
  }
  Answer(200, boost::json::serialize(
                  boost::json::object{{"records", std::move(list)}}));
}

std::uint64_t runner_session::Query(std::string_view name) const {
  std::string_view target = parser_->get().target();
  std::size_t at = target.find('?');
  while (at != std::string_view::npos) {
    target.remove_prefix(at + 1);
    if (target.starts_with(name) && target.size() > name.size() &&
        target[name.size()] == '=') {
      std::uint64_t value = 0;
      std::from_chars(target.data() + name.size() + 1,
                      target.data() + target.size(), value);
      return value;
    }
    at = target.find('&');
  }
  return 0;
}

}  // namespace radishwing::fake
