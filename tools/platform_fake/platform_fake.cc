#include "tools/platform_fake/platform_fake.h"

#include <utility>

#include "tools/platform_fake/platform_fake_impl.h"

namespace radishwing::platform_fake {

platform_fake::platform_fake(std::shared_ptr<impl> impl)
    : impl_(std::move(impl)) {}

platform_fake::~platform_fake() {
  impl_->stopped = true;
  impl_->tick.cancel();
  impl_->watchers.clear();
  impl_->server.reset();
}

result<std::unique_ptr<platform_fake>> platform_fake::Make(
    boost::asio::io_context& io, fake_options options) {
  http::server_options limits;
  limits.address = options.address;
  limits.max_connections = 4000;
  auto state = std::make_shared<impl>(io, std::move(options));
  auto made = http::server::Make(
      io, limits,
      [weak = std::weak_ptr<impl>(state)](http::server_request request,
                                          http::server::responder respond) {
        if (const auto self = weak.lock()) {
          self->Handle(std::move(request), std::move(respond));
        }
      });
  if (!Ok(made)) return Error(made);
  state->server = std::move(Value(made));
  state->ScheduleTick();
  return std::unique_ptr<platform_fake>(new platform_fake(std::move(state)));
}

std::string platform_fake::Address() const { return impl_->server->Address(); }

void platform_fake::SetFault(fault f) { impl_->SetFault(f); }

std::uint64_t platform_fake::Calls(std::string_view kind) const {
  return impl_->counter.Total(kind);
}

key_value_store& platform_fake::Store() { return impl_->store; }
task_table& platform_fake::Tasks() { return impl_->tasks; }
host_table& platform_fake::Hosts() { return impl_->hosts; }

}  // namespace radishwing::platform_fake
