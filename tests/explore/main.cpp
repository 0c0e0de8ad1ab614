#include "observe/log.h"
#include "search.h"

#include <cstring>
#include <docopt/docopt.h>
#include <fstream>
#include <iostream>
#include <malloc.h>

namespace marigold::explore {
namespace {

constexpr const char* kUsage =
  R"(Plays orders of events on the request path and looks for violated promises.

Usage:
  explore [--depth N] [--seconds S] [--seed N] [--known FILE]
  explore --replay SCRIPT
  explore (-h | --help)

Options:
  --depth N        Length up to which all orders are played [default: 6].
  --seconds S      Time for the search [default: 60].
  --seed N         Seed of the random walk beyond [default: 1].
  --known FILE     Scripts that found a fault before, played first: a line for
                   each, its name, a colon and its actions.
  --replay SCRIPT  Plays one script, as printed.
  -h --help        Show this text.
)";

/** Bytes of free memory that are not given back. */
constexpr int kKeptMemory = 256 * 1024 * 1024;

/** Orders that lead to where most faults were: an idle connection that has had
 * an answer, a request at an upstream, a stream before and after its beginning,
 * planned stops of these, and answers to callers that do not read. */
const std::vector<std::string> kBeginnings{
  "",
  "connect send:0 run accept:1 run answer:1 run",
  "connect send:0 run accept:1 run",
  ("connect send:0 run accept:1 run answer:1 run send:0 run answer:1 run "
   "send:0 "
   "run part:1 run"),
  "connect send:0 run accept:1 run answer:1 run stop:0",
  ("connect send:0 run accept:1 run answer:1 run send:0 run answer:1 run "
   "send:0 "
   "run part:1 run stop:0 wait run wait run wait run"),
  ("connect send:0 run accept:1 run answer:1 run send:0 run answer:1 run "
   "send:0 run"),
  "connect send:0 run accept:1 run stop:0 pause:0 answer:1 run",
  ("connect send:0 run accept:1 run answer:1 run send:0 run answer:1 run "
   "large:0 run pause:0 part:1 run"),
};

std::vector<std::pair<std::string, std::string>>
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

int
run(std::map<std::string, docopt::value>& aArguments)
{
  std::size_t known = 0;
  if (aArguments["--known"]) {
    for (const auto& [name, script] :
         readKnown(aArguments["--known"].asString())) {
      const std::string violation = play(parseScript(script));
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
  beginnings.reserve(kBeginnings.size());
  for (const std::string& text : kBeginnings) {
    beginnings.push_back(parseScript(text));
  }
  Progress progress;
  const auto finding = search(beginnings, limits, progress);
  std::cout << known << " known orders, " << progress.scripts
            << " orders played, " << progress.states
            << " states, all orders of up to " << progress.depth
            << " events after each of " << beginnings.size()
            << " beginnings, seed " << limits.seed << "\n";
  if (!finding) {
    std::cout << "no violation\n";
    return 0;
  }
  std::cout << finding->violation << "\n  explore --replay '"
            << formatScript(finding->script) << "'\n";
  return 1;
}

} // namespace
} // namespace marigold::explore

int
main(int aCount, char** aValues)
{
  using namespace marigold;
  // Large answers come and go all the time; the kernel need not clear them.
  mallopt(M_MMAP_THRESHOLD, explore::kKeptMemory);
  mallopt(M_TRIM_THRESHOLD, explore::kKeptMemory);
  auto arguments =
    docopt::docopt(explore::kUsage, { aValues + 1, aValues + aCount }, true);
  observe::startLog("explore", "error", observe::LogOutput::StandardError);
  return arguments["--replay"]
           ? explore::replay(arguments["--replay"].asString())
           : explore::run(arguments);
}
