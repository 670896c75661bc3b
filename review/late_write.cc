#include <map>
#include <random>

#include "review/scenarios.h"

namespace review {
using namespace radishwing;
using boost::beast::http::verb;
namespace {

constexpr millis kRunMs = 400;
constexpr int kTaskCpu = 1000;
constexpr millis kLostMs = 4500;     // Site file: platform_lost, for_s = 4.5.
constexpr double kLostShare = 0.35;  // Site file: platform_lost, x = 0.35.
constexpr millis kLateMs = 5900;     // "late (done 1 to 6 s later)"
constexpr millis kSubmitIntervalMs = 20;
constexpr millis kContactMs = 3000;
constexpr millis kCancelMs = 3000;

/// Cancels a job whose submission got no clear answer, until the cancel gets
/// one. Notes the time when it is acknowledged with 2xx or 410.
void Cancel(deployment& system, std::map<std::string, millis>& acknowledged,
            const std::string& id, int node, int attempts) {
  system.Send(verb::delete_, id, node, "",
              [&, id, node, attempts](unsigned status, const std::string&) {
                system.record.Write("client: DELETE " + id + " -> " +
                                    std::to_string(status));
                if (status == 410 || (status >= 200 && status < 300)) {
                  acknowledged[id] = system.record.Now();
                } else if (attempts > 1) {
                  Cancel(system, acknowledged, id, node + 1, attempts - 1);
                }
              });
}

}  // namespace

outcome PlayLateWrite(deployment& system, bool trouble) {
  system.AddService(kRunMs);
  if (!system.WaitUntilReady()) return outcome::kCouldNotRun;
  std::map<std::string, millis> acknowledged;
  std::mt19937_64 random(7);
  const millis lost_until = system.record.Now() + kLostMs;
  if (trouble) {
    system.record.Write("store: answers of writes are lost from now on");
    system.store.lose_answer = [&](const boost::json::object&) -> millis {
      if (system.record.Now() >= lost_until) return -1;
      const double draw = static_cast<double>(random() >> 11) / 0x1p53;
      return draw < kLostShare ? kLateMs : -1;
    };
  }
  const std::string body = JobBody(2, kTaskCpu, kRunMs);
  int next = 1;
  while (system.record.Now() < lost_until) {
    const int number = next++;
    const std::string id = JobId(number);
    system.jobs[id].id = id;
    system.Send(verb::post, id, number, body,
                [&, id, number](unsigned status, const std::string&) {
                  system.record.Write("client: POST " + id + " -> " +
                                      std::to_string(status));
                  system.jobs[id].submit_statuses.push_back(status);
                  // The client leaves. It cancels what may have been taken.
                  if (status == 0 || status == 502 || status == 504)
                    Cancel(system, acknowledged, id, number, 4);
                });
    system.RunFor(kSubmitIntervalMs);
  }
  system.record.Write("end of the disruption and of the traffic");
  system.RunFor(14000);
  // UNASKED: a machine in touch starts a task later than cancel_ms after the
  // job's cancelling was acknowledged. Starts are counted from contact_ms after
  // the end of the store's disruption, when calm machines are in touch.
  int broken = 0;
  for (const run_record& run : system.runs) {
    const auto it = acknowledged.find(run.task.substr(0, 16));
    if (it == acknowledged.end() || run.started_at <= it->second + kCancelMs ||
        run.started_at < lost_until + kContactMs) {
      continue;
    }
    ++broken;
    system.record.Write("UNASKED: task " + run.task + " started at " +
                        std::to_string(run.started_at) +
                        " ms, its job was cancelled at " +
                        std::to_string(it->second) + " ms");
  }
  system.record.Write(std::to_string(next - 1) + " jobs handed in, " +
                      std::to_string(acknowledged.size()) +
                      " cancels acknowledged, " + std::to_string(broken) +
                      " starts after that");
  return broken == 0 ? outcome::kHeld : outcome::kBroken;
}

}  // namespace review
