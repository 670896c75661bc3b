#pragma once

#include "http.h"
#include "record.h"

namespace world {

/// Stand-in for the platform's interface to machines.
class host_service {
 public:
  struct machine {
    std::string pool;
    std::string state = "up";
    std::string zone;
    std::string rack = "r1";
    std::string runner;  ///< Id of the machine's runner.
    std::int64_t cpu = 16000;
    std::int64_t memory_mb = 65536;
    std::uint64_t fence = 0;
    std::set<std::int64_t> waves;  ///< Waves whose upkeep it has begun.
  };

  host_service(net::io_context& io, record& log, const std::string& ip,
               std::uint16_t port)
      : io_(io), log_(log), server_(io, ip, port, [this](request call) {
          return Serve(std::move(call));
        }) {}

  std::string Address() const { return server_.Address(); }
  std::map<std::string, machine>& Machines() { return machines_; }
  /// While true, each call is answered with 503 and has no effect.
  void SetDown(bool down) { down_ = down; }
  bool IsDown() const { return down_; }
  /// Machines of a wave; an upkeep for another wave is refused.
  void AddWave(std::int64_t wave, const std::set<std::string>& names) {
    waves_[wave] = names;
  }
  /// Called when an upkeep begins and when the machine is back.
  std::function<void(const std::string& machine)> upkeep_begins;
  std::function<void(const std::string& machine)> upkeep_ends;
  /// Called when a move begins and when the machine has arrived in its pool.
  std::function<void(const std::string& machine)> move_begins;
  std::function<void(const std::string& machine)> move_ends;

 private:
  static constexpr millis kUpkeepMs = 2000;
  static constexpr millis kMoveMs = 1500;

  net::awaitable<reply> Serve(request call) {
    co_await Sleep(4);
    if (down_) co_return reply{503};
    if (call.path == "/machines") co_return List();
    if (call.path == "/machine-upkeep") co_return Upkeep(call);
    if (call.path == "/machine-move") co_return Move(call);
    co_return reply{404};
  }

  reply List() const {
    json::array rows;
    for (const auto& [name, entry] : machines_) {
      rows.push_back(json::object{
          {"machine", name},
          {"pool", entry.pool},
          {"state", entry.state},
          {"zone", entry.zone},
          {"labels", json::array{"a", entry.rack}},
          {"free-resources",
           json::object{
               {"cpu", entry.cpu}, {"mem-mb", entry.memory_mb}, {"gpu", 0}}},
          {"id", entry.runner}});
    }
    return Json({{"machines", std::move(rows)}});
  }

  /// Returns false if the machine has seen a higher fencing token.
  static bool TakeFence(machine& entry, const request& call) {
    const auto token = call.headers.find("Fencing-Token");
    const std::uint64_t fence =
        token == call.headers.end()
            ? 0
            : std::strtoull(token->second.c_str(), nullptr, 10);
    if (fence < entry.fence) return false;
    entry.fence = fence;
    return true;
  }

  reply Move(const request& call) {
    const json::object body = ParseBody(call.body);
    const std::string name = TextAt(body, "machine");
    const std::string pool = TextAt(body, "pool");
    const auto it = machines_.find(name);
    if (it == machines_.end()) return {400};
    machine& entry = it->second;
    if (!TakeFence(entry, call)) return Refuse("fence");
    if (entry.pool == pool) return {};
    if (entry.state != "up" || !move_begins) return Refuse("busy");
    entry.state = "moving";
    entry.pool = pool;
    log_.Line("move of " + name + " to " + pool + " begins");
    move_begins(name);
    net::co_spawn(io_, FinishMove(name), net::detached);
    return {};
  }

  reply Upkeep(const request& call) {
    const json::object body = ParseBody(call.body);
    const std::string name = TextAt(body, "machine");
    const std::int64_t wave = NumberAt(body, "wave");
    const auto it = machines_.find(name);
    if (it == machines_.end()) return {400};
    machine& entry = it->second;
    if (!TakeFence(entry, call)) return Refuse("fence");
    if (!waves_[wave].contains(name)) return Refuse("wave");
    if (entry.waves.contains(wave)) return {};
    if (entry.state != "up") return Refuse("busy");
    entry.waves.insert(wave);
    entry.state = "upkeep";
    log_.Line("upkeep of " + name + " begins, wave " + std::to_string(wave));
    if (upkeep_begins) upkeep_begins(name);
    net::co_spawn(io_, Finish(name), net::detached);
    return {};
  }

  static reply Refuse(const std::string& reason) {
    return Json({{"reason", reason}}, 409);
  }

  net::awaitable<void> FinishMove(std::string name) {
    co_await Sleep(kMoveMs);
    machines_[name].state = "up";
    if (move_ends) move_ends(name);
  }

  net::awaitable<void> Finish(std::string name) {
    co_await Sleep(kUpkeepMs);
    machines_[name].state = "up";
    if (upkeep_ends) upkeep_ends(name);
  }

  net::io_context& io_;
  record& log_;
  std::map<std::string, machine> machines_;
  std::map<std::int64_t, std::set<std::string>> waves_;
  bool down_ = false;
  http_server server_;
};

}  // namespace world
