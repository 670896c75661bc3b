#include "src/entry/caller_connection.h"
#include "src/entry/entry_core.h"
#include "src/entry/exchange.h"
#include "src/entry/head_writer.h"

namespace radishwing::entry {

using requests::outcome;
using routing::attempt_result;

void exchange::OnRunnerBytes(const boost::system::error_code& error) {
  if (error) {
    if (head_sent_)
      return Truncate(attempt_result::kFailed, connection_use::kClose);
    return Broken(broken::kClosed);
  }
  if (state_.phase == request_phase::kStreaming) return Pump();
  if (!attempt_.first_byte) {
    attempt_.first_byte = true;
    state_.service->NoteFirstByte(core_.Now() - attempt_.started_at);
  }
  ParseResponse();
}

void exchange::ParseResponse() {
  auto& buffer = attempt_.connection->Buffer();
  while (true) {
    response_parser& parser = *attempt_.connection->Parser();
    boost::system::error_code error;
    buffer.consume(parser.put(buffer.data(), error));
    if (error == http::error::need_more ||
        (!error && !parser.is_header_done())) {
      return attempt_.connection->Read();
    }
    if (error) return Broken(broken::kClosed);
    if (parser.get().result_int() >= 200) break;
    // 100 Continue and its kind precede the response proper.
    attempt_.connection->Parser().emplace();
    attempt_.connection->Parser()->header_limit(kResponseHeaderMax);
    attempt_.connection->Parser()->body_limit(boost::none);
    if (buffer.size() == 0) return attempt_.connection->Read();
  }
  if (OnResponseHead()) Pump();
}

bool exchange::OnResponseHead() {
  response_parser& parser = *attempt_.connection->Parser();
  const auto& response = parser.get();
  if (response["Runner-State"] == "leaving") attempt_.runner->leaving = true;
  status_ = static_cast<std::uint16_t>(response.result_int());
  if (status_ == 503 && response["Runner-Outcome"] == "not-run") {
    RunnerRejected();
    return false;
  }
  // A body that ends with the connection cannot be told from a truncated one.
  if (!parser.is_done() && parser.need_eof()) {
    Broken(broken::kClosed);
    return false;
  }
  unsigned version = caller_.Parser().get().version();
  bool head_only = caller_.Parser().get().method() == http::verb::head;
  keep_ = MayKeep() && upload_done_;
  std::optional<body_framing> framing;
  chunked_ = false;
  if (!head_only && parser.chunked()) {
    chunked_ = version >= 11;
    framing = body_framing{chunked_, std::nullopt};
    if (!chunked_) keep_ = false;
  }
  AppendResponseHead(response, {state_.id, version, keep_}, framing, out_);
  state_.phase = request_phase::kStreaming;
  parser.eager(true);
  down_ = core_.Buffers().Take();
  return true;
}

void exchange::RunnerRejected() {
  response_parser& parser = *attempt_.connection->Parser();
  auto& buffer = attempt_.connection->Buffer();
  char sink[512];
  boost::system::error_code error;
  while (!parser.is_done() && buffer.size() > 0 && !error) {
    parser.get().body().data = sink;
    parser.get().body().size = sizeof sink;
    std::size_t used = parser.put(buffer.data(), error);
    buffer.consume(used);
    if (error == http::error::need_buffer && used > 0) error = {};
  }
  bool reusable = parser.is_done() && parser.keep_alive() && upload_done_;
  bool requeue = !uploading_ && core_.Now() < state_.deadline_at;
  EndAttempt(attempt_result::kFull,
             requeue ? next_step::kRequeue : next_step::kFinish,
             reusable ? connection_use::kReuse : connection_use::kClose);
  if (!requeue) {
    Reject({503, "runner_full", "The runner had no free slot", outcome::kNotRun,
            !upload_done_});
  }
}

bool exchange::FillPart(std::size_t& size) {
  response_parser& parser = *attempt_.connection->Parser();
  auto& buffer = attempt_.connection->Buffer();
  auto& body = parser.get().body();
  while (!parser.is_done() && size < kStreamBuffer && buffer.size() > 0) {
    boost::system::error_code error;
    body.data = down_.get() + size;
    body.size = kStreamBuffer - size;
    body.more = true;
    std::size_t used = parser.put(buffer.data(), error);
    buffer.consume(used);
    size = kStreamBuffer - body.size;
    if (error == http::error::need_more || error == http::error::need_buffer) {
      return true;
    }
    if (error) return false;
    if (used == 0) return true;
  }
  return true;
}

void exchange::Pump() {
  while (!caller_writing_ && !runner_done_) {
    std::size_t size = 0;
    if (!FillPart(size))
      return Truncate(attempt_result::kFailed, connection_use::kClose);
    bool done = attempt_.connection->Parser()->is_done();
    if (size == 0 && !done && head_sent_) return attempt_.connection->Read();
    bool more = attempt_.connection->Buffer().size() > 0;
    if (done) RunnerDone();
    if (!WritePart(size, done)) return;
    if (!done && !more) return attempt_.connection->Read();
  }
}

bool exchange::WritePart(std::size_t size, bool done) {
  static constexpr std::string_view kChunkEnd = "\r\n";
  static constexpr std::string_view kLastChunk = "\r\n0\r\n\r\n";
  static constexpr std::string_view kOnlyLastChunk = "0\r\n\r\n";
  head_sent_ = true;
  response_bytes_ += size;
  std::string_view tail;
  if (chunked_) {
    if (size > 0) AppendChunkSize(size, out_);
    if (size > 0) tail = done ? kLastChunk : kChunkEnd;
    if (size == 0 && done) tail = kOnlyLastChunk;
  }
  auto wrote = caller_.Write({boost::asio::buffer(out_),
                              boost::asio::buffer(down_.get(), size),
                              boost::asio::buffer(tail.data(), tail.size())});
  if (wrote == write_result::kFailed) {
    OnCallerGone();
    caller_.Abort();
    return false;
  }
  if (wrote == write_result::kPending) {
    caller_writing_ = true;
    return false;
  }
  out_.clear();
  if (done) FinishResponse();
  return !done;
}

void exchange::OnCallerWritten(bool good) {
  caller_writing_ = false;
  out_.clear();
  if (!good) {
    OnCallerGone();
    return caller_.Abort();
  }
  if (runner_done_) return FinishResponse();
  Pump();
}

void exchange::RunnerDone() {
  response_parser& parser = *attempt_.connection->Parser();
  runner_done_ = true;
  bool reusable = parser.keep_alive() && upload_done_ &&
                  !attempt_.connection->Writing() &&
                  attempt_.connection->Buffer().size() == 0;
  if (status_ < 500) state_.service->budget.Success();
  state_.service->NoteRun(core_.Now() - attempt_.started_at);
  EndAttempt(
      status_ >= 500 ? attempt_result::kFailed : attempt_result::kSuccess,
      next_step::kFinish,
      reusable ? connection_use::kReuse : connection_use::kClose);
}

void exchange::FinishResponse() {
  bool keep = keep_;
  Complete(outcome::kAnswered, status_, request_verdict::kGood);
  caller_.EndResponse(keep);
}

void exchange::Truncate(attempt_result how, connection_use use) {
  EndAttempt(how, next_step::kFinish, use);
  Complete(outcome::kUnknown, status_, request_verdict::kTruncated);
  caller_.Abort();
}

}  // namespace radishwing::entry
