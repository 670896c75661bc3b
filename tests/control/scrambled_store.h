#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "src/control/platform_seam.h"

namespace radishwing::control {

/// A store whose calls take effect and are answered one at a time, in any
/// order, as a seed says. Some answers to writes are lost, and some of those
/// writes take effect later. One thread.
class scrambled_store {
 public:
  explicit scrambled_store(unsigned seed) : random_(seed) {}

  platform_seam Seam() {
    platform_seam seam;
    seam.get = [this](std::string key, auto reply) {
      Later([this, key, reply] {
        auto found = values_.find(key);
        std::optional<stored_value> value;
        if (found != values_.end()) value = found->second;
        Later([reply, value] { reply(value); });
      });
    };
    seam.list = [this](std::string prefix, auto reply) {
      Later([this, prefix, reply] {
        stored_values page{revision_, {}};
        for (const auto& [key, value] : values_) {
          if (key.starts_with(prefix)) page.items.push_back(value);
        }
        Later([reply, page] { reply(page); });
      });
    };
    seam.put = [this](std::string key, std::string value, std::uint64_t expect,
                      std::string, auto reply) {
      const bool lost = random_() % 8 == 0;
      if (lost) {
        Later([reply] {
          reply(failure{failure_kind::kTimeout, "the answer was lost"});
        });
      }
      Later([this, key, value, expect, reply, lost] {
        put_answer answer = Put(key, value, expect);
        if (!lost) Later([reply, answer] { reply(answer); });
      });
    };
    return seam;
  }

  /// Runs one waiting effect or answer; false if there is none.
  bool Step() {
    if (waiting_.empty()) return false;
    std::swap(waiting_[random_() % waiting_.size()], waiting_.back());
    auto run = std::move(waiting_.back());
    waiting_.pop_back();
    run();
    return true;
  }

  unsigned Random(unsigned below) { return random_() % below; }
  const std::map<std::string, stored_value>& Values() const { return values_; }

 private:
  void Later(std::function<void()> run) { waiting_.push_back(std::move(run)); }

  put_answer Put(const std::string& key, const std::string& value,
                 std::uint64_t expect) {
    stored_value& held = values_[key];
    if (held.version != expect) return {false, held};
    held = {key, value, ++revision_, false};
    return {true, held};
  }

  std::mt19937 random_;
  std::uint64_t revision_ = 0;
  std::map<std::string, stored_value> values_;
  std::vector<std::function<void()>> waiting_;
};

}  // namespace radishwing::control
