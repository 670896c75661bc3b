#include "src/control/store_port.h"

namespace radishwing::control {

store_port::store_port(kj::Timer& timer, clock now,
                       const control_timing& timing, platform_seam seam,
                       poster post)
    : timer_(timer),
      clock_(std::move(now)),
      timing_(timing),
      seam_(std::move(seam)),
      post_(std::move(post)),
      last_contact_ms_(clock_.Now()) {}

template <typename T, typename Start>
kj::Promise<result<T>> store_port::Call(bool wired, millis deadline_ms,
                                        Start start) {
  if (!wired) {
    return result<T>(failure{failure_kind::kUnavailable, "no platform"});
  }
  using fulfiller = kj::Own<kj::PromiseFulfiller<result<T>>>;
  auto pair = kj::newPromiseAndFulfiller<result<T>>();
  // The fulfiller stays on this thread; the reply only knows its number.
  std::uint64_t id = ++last_id_;
  auto held = std::make_shared<fulfiller>(std::move(pair.fulfiller));
  pending_[id] = held;
  start(reply_to<T>([this, id, post = post_,
                     weak = std::weak_ptr<fulfiller>(held)](result<T> value) {
    post([this, id, weak, value = std::move(value)]() mutable {
      auto waiting = weak.lock();
      if (!waiting) return;
      bool answered =
          Ok(value) || (Error(value).kind != failure_kind::kUnavailable &&
                        Error(value).kind != failure_kind::kTimeout);
      if (answered) last_contact_ms_ = clock_.Now();
      (*waiting)->fulfill(std::move(value));
      pending_.erase(id);
    });
  }));
  return timer_
      .timeoutAfter(deadline_ms * kj::MILLISECONDS, std::move(pair.promise))
      .catch_([this, id](kj::Exception&& reason) {
        pending_.erase(id);
        return result<T>(
            failure{failure_kind::kTimeout, reason.getDescription().cStr()});
      });
}

kj::Promise<result<std::optional<stored_value>>> store_port::Get(
    const std::string& key) {
  return Call<std::optional<stored_value>>(
      seam_.get != nullptr, timing_.store_deadline_ms,
      [&](auto reply) { seam_.get(key, std::move(reply)); });
}

kj::Promise<result<put_answer>> store_port::Put(const std::string& key,
                                                const std::string& value,
                                                std::uint64_t expect,
                                                const std::string& lease) {
  return Call<put_answer>(
      seam_.put != nullptr, timing_.put_deadline_ms, [&](auto reply) {
        seam_.put(key, value, expect, lease, std::move(reply));
      });
}

kj::Promise<result<stored_values>> store_port::List(const std::string& prefix) {
  return Call<stored_values>(
      seam_.list != nullptr, timing_.store_deadline_ms,
      [&](auto reply) { seam_.list(prefix, std::move(reply)); });
}

kj::Promise<result<stored_values>> store_port::Watch(const std::string& prefix,
                                                     std::uint64_t after,
                                                     millis wait_ms) {
  return Call<stored_values>(
      seam_.watch != nullptr, wait_ms + timing_.store_deadline_ms,
      [&](auto reply) {
        seam_.watch(prefix, after, wait_ms, std::move(reply));
      });
}

kj::Promise<result<std::string>> store_port::GrantLease(millis ttl_ms) {
  return Call<std::string>(
      seam_.grant_lease != nullptr, timing_.store_deadline_ms,
      [&](auto reply) { seam_.grant_lease(ttl_ms, std::move(reply)); });
}

kj::Promise<result<done>> store_port::RenewLease(const std::string& lease) {
  return Call<done>(
      seam_.renew_lease != nullptr, timing_.store_deadline_ms,
      [&](auto reply) { seam_.renew_lease(lease, std::move(reply)); });
}

kj::Promise<result<done>> store_port::DropLease(const std::string& lease) {
  return Call<done>(
      seam_.drop_lease != nullptr, timing_.store_deadline_ms,
      [&](auto reply) { seam_.drop_lease(lease, std::move(reply)); });
}

kj::Promise<result<live_list>> store_port::Live() {
  return Call<live_list>(seam_.live != nullptr, timing_.store_deadline_ms,
                         [&](auto reply) { seam_.live(std::move(reply)); });
}

kj::Promise<result<std::vector<platform_host>>> store_port::Hosts() {
  return Call<std::vector<platform_host>>(
      seam_.hosts != nullptr, timing_.store_deadline_ms,
      [&](auto reply) { seam_.hosts(std::move(reply)); });
}

kj::Promise<result<done>> store_port::DrainHost(const std::string& host) {
  return Call<done>(
      seam_.drain_host != nullptr, timing_.put_deadline_ms,
      [&](auto reply) { seam_.drain_host(host, std::move(reply)); });
}

kj::Promise<result<done>> store_port::UndrainHost(const std::string& host) {
  return Call<done>(
      seam_.undrain_host != nullptr, timing_.put_deadline_ms,
      [&](auto reply) { seam_.undrain_host(host, std::move(reply)); });
}

kj::Promise<result<done>> store_port::RebootHost(const std::string& host) {
  return Call<done>(
      seam_.reboot_host != nullptr, timing_.put_deadline_ms,
      [&](auto reply) { seam_.reboot_host(host, std::move(reply)); });
}

bool store_port::StartJobs(job_start start) {
  if (!seam_.start_jobs) return false;
  seam_.start_jobs(std::move(start));
  return true;
}

kj::Promise<result<rpc::job_answer>> store_port::Job(rpc::job_request request) {
  return Call<rpc::job_answer>(
      seam_.job != nullptr, timing_.store_deadline_ms,
      [&](auto reply) { seam_.job(std::move(request), std::move(reply)); });
}

kj::Promise<result<job_counts>> store_port::SetJobHosts(
    std::vector<job_host> hosts) {
  return Call<job_counts>(seam_.set_job_hosts != nullptr,
                          timing_.store_deadline_ms, [&](auto reply) {
                            seam_.set_job_hosts(std::move(hosts),
                                                std::move(reply));
                          });
}

}  // namespace radishwing::control
