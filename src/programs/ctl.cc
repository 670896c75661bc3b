#include <chrono>
#include <iostream>
#include <thread>

#include "src/base/sha256.h"
#include "src/ctl/app.h"
#include "src/ctl/http_transport.h"

namespace {

// The store may take 2 s for each of the writes behind an apply.
constexpr radishwing::millis kCallDeadlineMs = 10'000;

}  // namespace

int main(int argc, char** argv) {
  radishwing::ctl::app_hooks hooks;
  hooks.out = &std::cout;
  hooks.err = &std::cerr;
  hooks.environment = radishwing::settings::SystemEnvironment();
  hooks.transport = radishwing::ctl::MakeHttpTransport(kCallDeadlineMs);
  hooks.make_change_id = [] { return radishwing::RandomHex(16); };
  hooks.sleep = [](radishwing::millis time) {
    std::this_thread::sleep_for(std::chrono::milliseconds(time));
  };
  return radishwing::ctl::RunApp({argv + 1, argv + argc}, hooks);
}
