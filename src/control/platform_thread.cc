#include "src/control/platform_thread.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <thread>
#include <utility>

#include "src/base/bounded_ring.h"
#include "src/base/thread_name.h"
#include "src/control/job_service.h"
#include "src/platform/http_host_client.h"
#include "src/platform/http_kv_store.h"
#include "src/platform/http_live_list_client.h"
#include "src/platform/http_task_client.h"

namespace radishwing::control {
namespace {

// Calls that may wait for the store thread. The store serves several hundred
// writes/s, so more would only wait past their deadline.
constexpr std::size_t kStoreRing = 1024;

stored_value Convert(const platform::kv_item& item) {
  return {item.key, item.value, item.version, item.deleted};
}

result<stored_values> Convert(const result<platform::kv_page>& page) {
  if (!Ok(page)) return Error(page);
  stored_values values;
  values.revision = Value(page).revision;
  for (const auto& item : Value(page).items) {
    values.items.push_back(Convert(item));
  }
  return values;
}

result<std::optional<stored_value>> ConvertRead(
    const result<platform::kv_item>& item) {
  using value = std::optional<stored_value>;
  if (Ok(item)) return value(Convert(Value(item)));
  if (Error(item).kind == failure_kind::kNotFound) return value();
  return Error(item);
}

result<put_answer> Convert(const platform::kv_swap& swap,
                           const platform::swap_outcome& outcome) {
  switch (outcome.state) {
    case platform::swap_state::kDone:
      return put_answer{true, {swap.key, swap.value, outcome.version, false}};
    case platform::swap_state::kConflict:
      return put_answer{false, Convert(outcome.current)};
    case platform::swap_state::kNotDone:
      return failure{failure_kind::kUnavailable, outcome.message};
    case platform::swap_state::kUnknown:
      break;
  }
  return failure{failure_kind::kTimeout, outcome.message};
}

result<live_list> Convert(const result<platform::live_list>& list) {
  if (!Ok(list)) return Error(list);
  live_list live;
  live.as_of_ms = Value(list).as_of_ms;
  for (const auto& host : Value(list).hosts) {
    live.hosts.push_back({host.host, host.leaving});
  }
  for (const auto& r : Value(list).runners) {
    live.runners.push_back({r.id, r.service, r.host, r.address, r.slots,
                            r.connections, r.leaving, r.running});
  }
  return live;
}

platform_state Convert(platform::host_state state) {
  switch (state) {
    case platform::host_state::kUp:
      return platform_state::kUp;
    case platform::host_state::kDraining:
      return platform_state::kDraining;
    case platform::host_state::kRebooting:
      return platform_state::kRebooting;
    case platform::host_state::kFailed:
      break;
  }
  return platform_state::kFailed;
}

result<std::vector<platform_host>> Convert(
    const result<std::vector<platform::host_info>>& list) {
  if (!Ok(list)) return Error(list);
  std::vector<platform_host> hosts;
  for (const auto& host : Value(list)) {
    hosts.push_back({host.host, host.data_centre, host.rack, host.cores,
                     host.memory_mb, host.accelerators, Convert(host.state)});
  }
  return hosts;
}

}  // namespace

struct platform_thread::impl {
  impl()
      : ring(kStoreRing,
             [this] { boost::asio::post(io, [this] { Drain(); }); }) {}

  void Drain() {
    while (auto call = ring.TryPop()) (*call)();
  }

  template <typename T, typename Call>
  void Post(reply_to<T> reply, Call call) {
    if (!ring.TryPush([reply, call = std::move(call)] { call(reply); })) {
      reply(failure{failure_kind::kFull, "too many calls to the platform"});
    }
  }

  boost::asio::io_context io{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work{
      io.get_executor()};
  bounded_ring<std::function<void()>> ring;
  /// Jobs go through the ring as well, so that nothing overtakes their start.
  void AddJobs(platform_seam& seam) {
    seam.start_jobs = [this](job_start start) {
      ring.TryPush([this, start = std::move(start)] {
        jobs = std::make_unique<job_service>(io, *store, *tasks, start);
      });
    };
    seam.job = [this](rpc::job_request request, auto reply) {
      Post(std::move(reply), [this, request](auto done) {
        if (!jobs) return done(NoJobs());
        jobs->Handle(request, [done](rpc::job_answer a) { done(a); });
      });
    };
    seam.set_job_hosts = [this](std::vector<job_host> list, auto reply) {
      Post(std::move(reply), [this, list = std::move(list)](auto done) {
        if (!jobs) return done(NoJobs());
        done(jobs->SetHosts(list));
      });
    };
    seam.adopt_jobs = [this](std::string host) {
      ring.TryPush([this, host] {
        if (jobs) jobs->Adopt(host);
      });
    };
  }

  static failure NoJobs() {
    return {failure_kind::kUnavailable, "the jobs were not started"};
  }

  /// One maintenance call of the host client.
  using host_call = void (platform::http_host_client::*)(
      std::string_view, platform::host_client::completion<done>);

  std::function<void(std::string, reply_to<done>)> HostCall(host_call method) {
    return [this, method](std::string host, reply_to<done> reply) {
      Post(std::move(reply), [this, method, host](auto completion) {
        (hosts.get()->*method)(host, completion);
      });
    };
  }

  std::unique_ptr<platform::http_kv_store> store;
  std::unique_ptr<platform::http_live_list_client> live;
  std::unique_ptr<platform::http_host_client> hosts;
  std::unique_ptr<platform::http_task_client> tasks;
  std::unique_ptr<job_service> jobs;
  std::thread thread;
};

result<std::unique_ptr<platform_thread>> platform_thread::Make(
    std::string address) {
  auto made = std::make_unique<impl>();
  platform::platform_options options;
  options.address = std::move(address);
  auto link = platform::platform_link::Make(made->io, options);
  if (!Ok(link)) return Error(link);
  made->store = std::make_unique<platform::http_kv_store>(Value(link));
  made->live = std::make_unique<platform::http_live_list_client>(Value(link));
  made->hosts = std::make_unique<platform::http_host_client>(Value(link));
  made->tasks = std::make_unique<platform::http_task_client>(Value(link));
  made->thread = std::thread([state = made.get()] {
    NameThread("store");
    state->io.run();
  });
  return std::unique_ptr<platform_thread>(new platform_thread(std::move(made)));
}

platform_thread::platform_thread(std::unique_ptr<impl> impl)
    : impl_(std::move(impl)) {}

platform_thread::~platform_thread() {
  impl_->io.stop();
  impl_->thread.join();
}

platform_seam platform_thread::Seam() {
  platform_seam seam;
  impl* i = impl_.get();
  seam.get = [i](std::string key, auto reply) {
    i->Post(std::move(reply), [i, key](auto done) {
      i->store->Read(key, [done](auto item) { done(ConvertRead(item)); });
    });
  };
  seam.put = [i](std::string key, std::string value, std::uint64_t expect,
                 std::string lease, auto reply) {
    platform::kv_swap swap{key, expect, std::move(value), std::move(lease)};
    i->Post(std::move(reply), [i, swap](auto done) {
      i->store->Swap(
          swap, [done, swap](auto outcome) { done(Convert(swap, outcome)); });
    });
  };
  seam.list = [i](std::string prefix, auto reply) {
    i->Post(std::move(reply), [i, prefix](auto done) {
      i->store->ReadPrefix(prefix, [done](auto page) { done(Convert(page)); });
    });
  };
  seam.watch = [i](std::string prefix, std::uint64_t after, millis wait_ms,
                   auto reply) {
    i->Post(std::move(reply), [i, prefix, after, wait_ms](auto done) {
      i->store->Watch(prefix, after, wait_ms,
                      [done](auto page) { done(Convert(page)); });
    });
  };
  seam.grant_lease = [i](millis ttl_ms, auto reply) {
    i->Post(std::move(reply),
            [i, ttl_ms](auto done) { i->store->GrantLease(ttl_ms, done); });
  };
  seam.renew_lease = [i](std::string lease, auto reply) {
    i->Post(std::move(reply),
            [i, lease](auto done) { i->store->RenewLease(lease, done); });
  };
  seam.drop_lease = [i](std::string lease, auto reply) {
    i->Post(std::move(reply),
            [i, lease](auto done) { i->store->RevokeLease(lease, done); });
  };
  seam.live = [i](auto reply) {
    i->Post(std::move(reply), [i](auto done) {
      i->live->Get([done](auto list) { done(Convert(list)); });
    });
  };
  seam.hosts = [i](auto reply) {
    i->Post(std::move(reply), [i](auto done) {
      i->hosts->List([done](auto list) { done(Convert(list)); });
    });
  };
  i->AddJobs(seam);
  seam.drain_host = i->HostCall(&platform::http_host_client::Drain);
  seam.undrain_host = i->HostCall(&platform::http_host_client::Undrain);
  seam.reboot_host = i->HostCall(&platform::http_host_client::Reboot);
  return seam;
}

}  // namespace radishwing::control
