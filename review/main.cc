#include <cstdlib>
#include <exception>
#include <iostream>
#include <string>

#include "review/scenarios.h"

// Usage: stand_in SCENARIO RECORD_FILE NET NODES
// Stand-ins of the platform, the runners and the clients, and the course of one
// scenario. TROUBLE=0 in the environment leaves the disruption out.
int main(int argc, char** argv) try {
  using review::outcome;
  if (argc != 5) return 2;
  const std::string scenario = argv[1];
  const char* setting = std::getenv("TROUBLE");
  const bool trouble = !setting || std::string(setting) != "0";
  review::deployment system(argv[2], argv[3], std::atoi(argv[4]));
  outcome result = outcome::kCouldNotRun;
  if (scenario == "new-address") result = PlayNewAddress(system, trouble);
  if (scenario == "short-outage") result = PlayShortOutage(system, trouble);
  if (scenario == "odd-entry") result = PlayOddEntry(system, trouble);
  if (scenario == "late-write") result = PlayLateWrite(system, trouble);
  if (scenario == "store-outage") result = PlayStoreOutage(system, trouble);
  system.record.Write(result == outcome::kHeld ? "result: the rule held"
                      : result == outcome::kBroken
                          ? "result: the rule is broken"
                          : "result: could not run");
  std::cout << "result " << static_cast<int>(result) << std::endl;
  // The nodes still use the stand-ins; the process ends at once.
  std::_Exit(static_cast<int>(result));
} catch (const std::exception& error) {
  std::cerr << error.what() << '\n';
  return 2;
}
