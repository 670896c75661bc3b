#pragma once

#include <cstdlib>
#include <filesystem>
#include <functional>
#include <iostream>
#include <string>

#include "deployment.h"

namespace world {

/// Exit codes of a case.
enum verdict { kHeld = 0, kBroken = 1, kCouldNotRun = 2 };

/// Runs a case: `play` drives the deployment and returns the verdict. The
/// arguments are the daemon's program, a temporary folder and the record's
/// path; the variable TROUBLE says whether the disruption takes place.
inline int RunCase(
    int argc, char** argv,
    const std::function<net::awaitable<verdict>(deployment&, bool trouble)>&
        play) {
  if (argc != 4) {
    std::cerr << "usage: " << argv[0] << " PROGRAM FOLDER RECORD\n";
    return kCouldNotRun;
  }
  const char* variable = std::getenv("TROUBLE");
  const bool trouble = !variable || std::string(variable) != "0";
  const std::string network = FreeNetwork();
  if (network.empty()) {
    std::cerr << "no free loopback addresses\n";
    return kCouldNotRun;
  }
  verdict result = kCouldNotRun;
  try {
    deployment world({argv[1], argv[2], network, argv[3], 3});
    net::co_spawn(
        world.io,
        [&]() -> net::awaitable<void> {
          result = co_await play(world, trouble);
          world.log.Line("verdict " + std::to_string(result));
          world.io.stop();
        },
        net::detached);
    world.io.run();
  } catch (const std::exception& error) {
    std::cerr << "the case could not run: " << error.what() << '\n';
    return kCouldNotRun;
  }
  return result;
}

}  // namespace world
