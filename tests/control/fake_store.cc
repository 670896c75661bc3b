#include "tests/control/fake_store.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "src/maintenance/host_record.h"

namespace radishwing::control {

fake_store::fake_store() : thread_([this] { Main(); }) {}

fake_store::~fake_store() {
  {
    std::lock_guard<std::mutex> lock(mutex_);
    stop_ = true;
  }
  wake_.notify_all();
  thread_.join();
}

fake_store::fault fake_store::FaultOf(const std::string& who) {
  auto found = faults_.find(who);
  bool own = found != faults_.end() && found->second != fault::kNone;
  return own ? found->second : fault_for_all_;
}

template <typename T>
void fake_store::Serve(const std::string& who, bool writes, reply_to<T> reply,
                       std::function<result<T>()> action) {
  std::lock_guard<std::mutex> lock(mutex_);
  fault now = FaultOf(who);
  if (now == fault::kSilent) return;
  millis delay = now == fault::kSlow ? 100 : 0;
  result<T> answer = failure{failure_kind::kUnavailable, "the store is down"};
  if (now != fault::kDown) {
    ExpireLeases();
    answer = action();
  }
  if (now == fault::kLoseAnswers && writes) {
    answer = failure{failure_kind::kTimeout, "the answer was lost"};
  }
  later_.push_back(
      {clock_.Now() + delay, [reply = std::move(reply),
                              answer = std::move(answer)] { reply(answer); }});
  wake_.notify_all();
}

put_answer fake_store::Put(const std::string& key, const std::string& value,
                           std::uint64_t expect, const std::string& lease) {
  auto found = values_.find(key);
  bool exists = found != values_.end() && !found->second.deleted;
  std::uint64_t version = exists ? found->second.version : 0;
  if (version != expect || (!lease.empty() && !leases_.contains(lease))) {
    return {false, exists ? found->second : stored_value{key, "", 0, false}};
  }
  Store(key, value, false);
  if (!lease.empty()) lease_of_key_[key] = lease;
  ++writes_[key];
  return {true, values_[key]};
}

void fake_store::Store(const std::string& key, const std::string& value,
                       bool deleted) {
  values_[key] = {key, value, ++revision_, deleted};
  wake_.notify_all();
}

stored_values fake_store::Changes(const std::string& prefix,
                                  std::uint64_t after, bool deleted_too) {
  stored_values changes;
  changes.revision = revision_;
  for (const auto& [key, value] : values_) {
    if (!key.starts_with(prefix) || value.version <= after) continue;
    if (!value.deleted || deleted_too) changes.items.push_back(value);
  }
  return changes;
}

void fake_store::ExpireLeases() {
  for (auto lease = leases_.begin(); lease != leases_.end();) {
    if (lease->second.ends_ms > clock_.Now()) {
      ++lease;
      continue;
    }
    for (const auto& [key, holder] : lease_of_key_) {
      if (holder == lease->first) Store(key, "", true);
    }
    std::erase_if(lease_of_key_,
                  [&](const auto& k) { return k.second == lease->first; });
    lease = leases_.erase(lease);
  }
}

platform_seam fake_store::SeamFor(const std::string& who) {
  platform_seam seam;
  seam.get = [this, who](std::string key, auto reply) {
    using value = std::optional<stored_value>;
    Serve<value>(who, false, std::move(reply), [this, key]() -> result<value> {
      auto found = values_.find(key);
      bool exists = found != values_.end() && !found->second.deleted;
      return exists ? value(found->second) : value();
    });
  };
  seam.put = [this, who](std::string key, std::string value,
                         std::uint64_t expect, std::string lease, auto reply) {
    Serve<put_answer>(who, true, std::move(reply),
                      [=, this]() -> result<put_answer> {
                        return Put(key, value, expect, lease);
                      });
  };
  seam.list = [this, who](std::string prefix, auto reply) {
    Serve<stored_values>(who, false, std::move(reply),
                         [=, this]() -> result<stored_values> {
                           return Changes(prefix, 0, false);
                         });
  };
  seam.watch = [this, who](std::string prefix, std::uint64_t after,
                           millis wait_ms, auto reply) {
    std::lock_guard<std::mutex> lock(mutex_);
    watchers_.push_back({who, prefix, after, clock_.Now() + wait_ms, reply});
    wake_.notify_all();
  };
  seam.grant_lease = [this, who](millis ttl_ms, auto reply) {
    Serve<std::string>(who, true, std::move(reply),
                       [=, this]() -> result<std::string> {
                         std::string id = std::to_string(next_lease_++);
                         leases_[id] = {ttl_ms, clock_.Now() + ttl_ms};
                         return id;
                       });
  };
  seam.renew_lease = [this, who](std::string lease, auto reply) {
    Serve<done>(who, true, std::move(reply), [=, this]() -> result<done> {
      auto found = leases_.find(lease);
      if (found == leases_.end()) {
        return failure{failure_kind::kNotFound, "no such lease"};
      }
      found->second.ends_ms = clock_.Now() + found->second.ttl_ms;
      return done();
    });
  };
  seam.drop_lease = [this, who](std::string lease, auto reply) {
    Serve<done>(who, true, std::move(reply), [=, this]() -> result<done> {
      if (leases_.contains(lease)) leases_[lease].ends_ms = 0;
      ExpireLeases();
      return done();
    });
  };
  seam.live = [this, who](auto reply) {
    Serve<live_list>(who, false, std::move(reply),
                     [this]() -> result<live_list> { return live_; });
  };
  seam.hosts = [this, who](auto reply) {
    using hosts = std::vector<platform_host>;
    Serve<hosts>(who, false, std::move(reply),
                 [this]() -> result<hosts> { return hosts_; });
  };
  auto change = [this, who](platform_state state) {
    return [this, who, state](std::string host, auto reply) {
      Serve<done>(who, true, std::move(reply),
                  [this, host, state]() -> result<done> {
                    ChangeHost(host, state);
                    return done();
                  });
    };
  };
  seam.drain_host = change(platform_state::kDraining);
  seam.undrain_host = change(platform_state::kUp);
  seam.reboot_host = [this, who](std::string host, auto reply) {
    Serve<done>(who, true, std::move(reply), [this, host]() -> result<done> {
      Reboot(host);
      return done();
    });
  };
  return seam;
}

void fake_store::ChangeHost(const std::string& host, platform_state state) {
  for (auto& info : hosts_) {
    if (info.host == host) info.state = state;
  }
}

void fake_store::Reboot(const std::string& host) {
  std::string state = "none";
  for (const auto& [key, value] : values_) {
    if (!key.starts_with("host/") || !key.ends_with('/' + host)) continue;
    auto record = maintenance::ParseHostRecord(value.value);
    if (Ok(record)) state = maintenance::HostStateName(Value(record).state);
  }
  reboots_.push_back(host + ':' + state);
  ChangeHost(host, platform_state::kRebooting);
  later_.push_back({clock_.Now() + 100,
                    [this, host] { SetHostState(host, platform_state::kUp); }});
}

void fake_store::Main() {
  std::unique_lock<std::mutex> lock(mutex_);
  while (!stop_) {
    ExpireLeases();
    std::vector<std::function<void()>> due;
    std::erase_if(later_, [&](later& item) {
      if (item.at_ms > clock_.Now()) return false;
      due.push_back(std::move(item.run));
      return true;
    });
    std::erase_if(watchers_, [&](watcher& w) {
      fault now = FaultOf(w.who);
      if (now == fault::kSilent) return clock_.Now() > w.ends_ms;
      stored_values changes = Changes(w.prefix, w.after, true);
      bool ends = !changes.items.empty() || clock_.Now() >= w.ends_ms;
      if (now == fault::kDown) {
        due.push_back([reply = std::move(w.reply)] {
          reply(failure{failure_kind::kUnavailable, "the store is down"});
        });
        return true;
      }
      if (!ends) return false;
      due.push_back([reply = std::move(w.reply), changes] { reply(changes); });
      return true;
    });
    if (due.empty()) {
      wake_.wait_for(lock, std::chrono::milliseconds(20));
      continue;
    }
    lock.unlock();
    for (auto& run : due) run();
    lock.lock();
  }
}

void fake_store::SetFault(const std::string& who, fault f) {
  std::lock_guard<std::mutex> lock(mutex_);
  faults_[who] = f;
}

void fake_store::SetFaultForAll(fault f) {
  std::lock_guard<std::mutex> lock(mutex_);
  fault_for_all_ = f;
}

void fake_store::Write(const std::string& key, const std::string& value) {
  std::lock_guard<std::mutex> lock(mutex_);
  Store(key, value, false);
}

std::string fake_store::Read(const std::string& key) {
  std::lock_guard<std::mutex> lock(mutex_);
  ExpireLeases();
  auto found = values_.find(key);
  return found == values_.end() || found->second.deleted ? ""
                                                         : found->second.value;
}

void fake_store::SetLive(live_list list, std::vector<platform_host> hosts) {
  std::lock_guard<std::mutex> lock(mutex_);
  live_ = std::move(list);
  hosts_ = std::move(hosts);
}

void fake_store::SetHostState(const std::string& host, platform_state state) {
  std::lock_guard<std::mutex> lock(mutex_);
  ChangeHost(host, state);
}

std::vector<std::string> fake_store::Reboots() {
  std::lock_guard<std::mutex> lock(mutex_);
  return reboots_;
}

int fake_store::Writes(const std::string& prefix) {
  std::lock_guard<std::mutex> lock(mutex_);
  int count = 0;
  for (const auto& [key, writes] : writes_) {
    if (key.starts_with(prefix)) count += writes;
  }
  return count;
}

}  // namespace radishwing::control
