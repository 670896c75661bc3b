#include "tools/platform_fake/platform_fake_impl.h"

#include <chrono>
#include <exception>
#include <utility>

namespace radishwing::platform_fake {
namespace {

using boost::beast::http::verb;

// How often time takes effect. Leases and watches are this much late at most.
constexpr std::chrono::milliseconds kTick{20};

std::string_view KindOf(const http::server_request& request) {
  const std::string& path = request.target.path;
  const bool is_get = request.method == verb::get;
  if (path == "/v1/kv") return "kv_prefix";
  if (path.starts_with("/v1/kv/")) {
    if (is_get) return "kv_read";
    return request.method == verb::delete_ ? "kv_delete" : "kv_write";
  }
  if (path == "/v1/watch") return "watch";
  if (path.starts_with("/v1/leases")) return "lease";
  if (path == "/v1/live") return "live";
  if (path == "/v1/runners") return "runner";
  if (path.starts_with("/v1/hosts")) return is_get ? "hosts" : "host_change";
  if (path.starts_with("/v1/tasks")) return is_get ? "task_read" : "task_write";
  return "unknown";
}

bool IsStoreRead(std::string_view kind) {
  return kind == "kv_read" || kind == "kv_prefix" || kind == "watch";
}

bool IsStoreWrite(std::string_view kind) {
  return kind == "kv_write" || kind == "kv_delete" || kind == "lease";
}

}  // namespace

platform_fake::impl::impl(boost::asio::io_context& io, fake_options given)
    : io(io),
      options(std::move(given)),
      hosts(options.hosts, options.lag_ms, options.reboot_ms,
            options.clock.Now()),
      tasks(hosts, options.task_ms, options.lag_ms),
      reads(options.reads_per_s),
      writes(options.writes_per_s),
      tick(io) {}

void platform_fake::impl::SetFault(const fault& f) {
  switch (f.mode) {
    case fault_mode::kSilent:
      silent_up_to = server->LastConnection();
      break;
    case fault_mode::kLapseLease:
      if (!tasks.Lapse(f.lease)) store.Revoke(f.lease);
      AnswerWatchers();
      break;
    case fault_mode::kFailHost:
      hosts.Fail(f.lease, Now());
      break;
    default:
      faults.Set(f);
  }
}

void platform_fake::impl::Handle(http::server_request request,
                                 responder respond) {
  const std::string& path = request.target.path;
  if (path == "/fault" || path == "/counters") {
    HandleControl(request, respond);
    return;
  }
  const std::uint64_t connection = request.connection;
  responder answer = [this, connection,
                      respond](http::server_response response) {
    if (connection <= silent_up_to) {
      response.disposition = http::disposition::kSilent;
    }
    respond(std::move(response));
  };
  if (connection <= silent_up_to) {  // The request is lost on its way.
    answer({});
    return;
  }
  const std::string_view kind = KindOf(request);
  counter.Count(kind, Now());
  if ((IsStoreRead(kind) && !reads.Take(Now())) ||
      (IsStoreWrite(kind) && !writes.Take(Now()))) {
    counter.Count("rate_limited", Now());
    answer(http::ErrorResponse(429, "rate_limited", "too many calls"));
    return;
  }
  RouteWithFault(std::move(request), kind, answer);
}

void platform_fake::impl::RouteWithFault(http::server_request request,
                                         std::string_view kind,
                                         const responder& answer) {
  const fault_mode fault = faults.Take(request.method != verb::get);
  if (fault == fault_mode::kDown) {
    answer(http::ErrorResponse(503, "down", "the platform is down"));
  } else if (fault == fault_mode::kSlow) {
    auto timer = std::make_shared<boost::asio::steady_timer>(
        io, std::chrono::milliseconds(faults.Now().delay_ms));
    timer->async_wait(
        [self = shared_from_this(), timer, kind, answer,
         request = std::move(request)](boost::system::error_code) {
          if (!self->stopped) self->Route(request, kind, answer);
        });
  } else if (fault == fault_mode::kLoseAnswers) {
    Route(request, kind, [answer](http::server_response response) {
      response.disposition = http::disposition::kClose;
      answer(std::move(response));
    });
  } else {
    Route(request, kind, answer);
  }
}

void platform_fake::impl::Route(const http::server_request& request,
                                std::string_view kind,
                                const responder& respond) {
  Tick();
  try {
    if (kind == "watch") {
      Watch(request, respond);
    } else if (kind == "lease") {
      respond(RouteLease(request));
    } else if (IsStoreRead(kind) || IsStoreWrite(kind)) {
      respond(RouteStore(request, kind));
    } else if (kind == "task_read" || kind == "task_write") {
      respond(RouteTasks(request, kind));
    } else {
      respond(RouteHosts(request, kind));
    }
  } catch (const std::exception& error) {  // From the JSON library.
    respond(http::ErrorResponse(400, "malformed", error.what()));
  }
  AnswerWatchers();
}

void platform_fake::impl::HandleControl(const http::server_request& request,
                                        const responder& respond) {
  if (request.target.path == "/counters") {
    respond(http::JsonResponse(200, counter.Report(Now())));
    return;
  }
  const auto parsed = ParseFault(request.body);
  if (!Ok(parsed)) {
    respond(http::ErrorResponse(400, "malformed", Error(parsed).message));
    return;
  }
  SetFault(Value(parsed));
  respond(http::JsonResponse(200, boost::json::object()));
}

void platform_fake::impl::Tick() {
  const millis now = Now();
  store.Expire(now);
  hosts.Tick(now);
  tasks.Tick(now);
}

void platform_fake::impl::ScheduleTick() {
  tick.expires_after(kTick);
  tick.async_wait([weak = weak_from_this()](boost::system::error_code) {
    const auto self = weak.lock();
    if (!self || self->stopped) return;
    self->Tick();
    self->AnswerWatchers();
    self->ScheduleTick();
  });
}

}  // namespace radishwing::platform_fake
