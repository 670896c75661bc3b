/// Closes the demo: compares the callers' records with the runners' and prints
/// one line. Exits 1 if a request was lost or doubled.
#include <CLI/CLI.hpp>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

#include "tools/load/tally.h"

int main(int argc, char** argv) {
  CLI::App app("Compares callers' records with runners' records");
  std::vector<std::string> load_files;
  std::vector<std::string> runner_files;
  app.add_option("--load", load_files, "load generator's record files")
      ->required();
  app.add_option("--runner", runner_files, "runners' record files")->required();
  CLI11_PARSE(app, argc, argv);

  radishwing::tools::tally tally;
  const auto read = [](const std::vector<std::string>& files, auto add) {
    for (const std::string& file : files) {
      std::ifstream in(file);
      if (!in) {
        std::cerr << "tally: cannot read " << file << "\n";
        return false;
      }
      add(in);
    }
    return true;
  };
  const bool complete =
      read(runner_files, [&](auto& in) { tally.AddRunnerRecords(in); }) &&
      read(load_files, [&](auto& in) { tally.AddLoadRecords(in); });
  if (!complete) return 2;

  const auto& totals = tally.Totals();
  std::cout << "demo: " << totals.answered << " answered, " << totals.refused
            << " refused, " << totals.unknown << " unknown, " << totals.lost
            << " lost, " << totals.doubled << " doubled" << std::endl;
  return totals.answered > 0 && totals.lost == 0 && totals.doubled == 0 ? 0 : 1;
}
