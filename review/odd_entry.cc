#include <boost/json.hpp>

#include "review/scenarios.h"

namespace review {
namespace json = boost::json;
using namespace radishwing;
namespace {

constexpr millis kRunMs = 700;
constexpr int kTaskCpu = 4000;

}  // namespace

outcome PlayOddEntry(deployment& system, bool trouble) {
  const std::string body = JobBody(4, kTaskCpu, kRunMs);
  system.AddService(kRunMs);
  if (!system.WaitUntilReady()) return outcome::kCouldNotRun;
  system.SubmitFor(4000, body);
  if (trouble) {
    const std::string id = "i-00000001";
    system.store.Put("servers/" + id,
                     json::serialize(json::object{{"backend", "warehouse"},
                                                  {"address", "127.0.0.1:7107"},
                                                  {"zone", "zone-a"},
                                                  {"version", "1"},
                                                  {"capacity", 8},
                                                  {"state", "ready"},
                                                  {"cold-ms", 0},
                                                  {"seq", 1}}));
    system.record.Write("another writer: entry servers/" + id +
                        " of the service warehouse");
  }
  system.SubmitFor(8000, body);
  return JudgeLost(system);
}

}  // namespace review
