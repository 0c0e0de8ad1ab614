/** @file Command line of the explorers. */
#pragma once

#include "observe/log.h"
#include "search.h"

#include <cstdlib>
#include <docopt/docopt.h>
#include <fstream>
#include <iostream>
#include <malloc.h>
#include <map>

namespace marigold::explore {

constexpr const char* kUsage =
  R"(Plays orders of events and looks for violated promises.

Usage:
  PROGRAM [--depth N] [--seconds S] [--seed N] [--known FILE]
  PROGRAM --replay SCRIPT
  PROGRAM (-h | --help)

Options:
  --depth N        Length up to which all orders are played [default: 6].
  --seconds S      Time for the search [default: 60].
  --seed N         Seed of the random walk beyond [default: 1].
  --known FILE     Scripts that found a fault before, played first: a line for
                   each, its name, a colon and its actions.
  --replay SCRIPT  Plays one script, as printed.
  -h --help        Show this text.
)";

/** @return the names and actions of the scripts in a file */
inline std::vector<std::pair<std::string, std::string>>
readKnown(const std::string& aFile)
{
  std::vector<std::pair<std::string, std::string>> scripts;
  std::ifstream in(aFile);
  if (!in) {
    std::cerr << "cannot read " << aFile << "\n";
    std::exit(2);
  }
  for (std::string line; std::getline(in, line);) {
    const std::size_t colon = line.find(": ");
    if (!line.empty() && line.front() != '#' && colon != std::string::npos) {
      scripts.emplace_back(line.substr(0, colon), line.substr(colon + 2));
    }
  }
  return scripts;
}

template<typename Scenario>
int
replay(const std::string& aScript)
{
  Scenario scenario;
  std::string violation;
  for (const Action& action : parseScript(aScript)) {
    const bool possible = scenario.apply(action);
    std::cout << "== " << action.text() << (possible ? "" : " (not possible)")
              << "\n"
              << scenario.describe();
    violation = violation.empty() ? scenario.violation() : violation;
  }
  scenario.settle();
  std::cout << "== at the end\n" << scenario.describe();
  violation = violation.empty() ? scenario.violationAtEnd() : violation;
  std::cout << (violation.empty() ? "no violation" : violation) << "\n";
  return violation.empty() ? 0 : 1;
}

template<typename Scenario>
int
run(std::map<std::string, docopt::value>& aArguments,
    const std::vector<std::string>& aBeginnings)
{
  std::size_t known = 0;
  if (aArguments["--known"]) {
    for (const auto& [name, script] :
         readKnown(aArguments["--known"].asString())) {
      const std::string violation = play<Scenario>(parseScript(script));
      ++known;
      if (!violation.empty()) {
        std::cout << name << ": " << violation << "\n  " << script << "\n";
        return 1;
      }
    }
  }
  SearchLimits limits;
  limits.depth = static_cast<std::size_t>(aArguments["--depth"].asLong());
  limits.time = std::chrono::seconds(aArguments["--seconds"].asLong());
  limits.seed = static_cast<std::uint64_t>(aArguments["--seed"].asLong());
  std::vector<std::vector<Action>> beginnings;
  beginnings.reserve(aBeginnings.size());
  for (const std::string& text : aBeginnings) {
    beginnings.push_back(parseScript(text));
  }
  Progress progress;
  const auto finding = search<Scenario>(beginnings, limits, progress);
  std::cout << known << " known orders, " << progress.scripts
            << " orders played, " << progress.states
            << " states, all orders of up to " << progress.depth
            << " events after each of " << beginnings.size()
            << " beginnings, seed " << limits.seed << "\n";
  if (!finding) {
    std::cout << "no violation\n";
    return 0;
  }
  std::cout << finding->violation << "\n  --replay '"
            << formatScript(finding->script) << "'\n";
  return 1;
}

/** @param aBeginnings scripts after which the search starts
 * @return exit code: 1 if a promise is violated */
template<typename Scenario>
int
runProgram(int aCount,
           char** aValues,
           const char* aName,
           const std::vector<std::string>& aBeginnings)
{
  // Bytes of free memory that are not given back. Large answers come and go all
  // the time; the kernel need not clear them.
  constexpr int kKeptMemory = 256 * 1024 * 1024;
  mallopt(M_MMAP_THRESHOLD, kKeptMemory);
  mallopt(M_TRIM_THRESHOLD, kKeptMemory);
  auto arguments =
    docopt::docopt(kUsage, { aValues + 1, aValues + aCount }, true);
  observe::startLog(aName, "error", observe::LogOutput::StandardError);
  return arguments["--replay"]
           ? replay<Scenario>(arguments["--replay"].asString())
           : run<Scenario>(arguments, aBeginnings);
}

} // namespace marigold::explore
