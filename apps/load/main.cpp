/** @file Entry point of marigold-load, the open-loop load generator. */
#include "apps/load/runner.h"
#include "config/config.h"
#include "observe/observe.h"

#include <docopt/docopt.h>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

using namespace marigold;

namespace {

constexpr const char* kUsage =
  R"(Sends load to entry VMs and measures what callers get.

Usage:
  marigold-load --scenario FILE [--seed N] [--records FILE]
  marigold-load (-h | --help)
  marigold-load --version

Options:
  --scenario FILE  YAML scenario.
  --seed N         Replaces the seed of the scenario.
  --records FILE   Write what each caller saw, one JSON object a line.
  -h --help        Show this text.
  --version        Show the version.

The measures are printed as JSON lines. The exit code is 2 if a safety count is
not zero.
)";

constexpr int kUnsafeExitCode = 2;

using Arguments = std::map<std::string, docopt::value>;

base::Result<load::Scenario>
readScenario(Arguments& aArguments)
{
  const std::string file = aArguments["--scenario"].asString();
  BOOST_LEAF_AUTO(text, config::readFile(file));
  BOOST_LEAF_AUTO(scenario, load::parseScenario(text, file));
  if (aArguments["--seed"]) {
    scenario.seed = static_cast<std::uint64_t>(aArguments["--seed"].asLong());
  }
  return scenario;
}

load::UpstreamRecords
runLoad(const load::Scenario& aScenario,
        load::Runner& aRunner,
        http::Loop& aLoop)
{
  load::RecordReader reader(aLoop, aScenario);
  load::UpstreamRecords before;
  load::UpstreamRecords after;
  reader.start([&](const load::UpstreamRecords& aRecords) {
    before = aRecords;
    aRunner.start([&] {
      reader.start([&](const load::UpstreamRecords& aLater) {
        after = aLater;
        aLoop.stop();
      });
    });
  });
  aLoop.run();
  after.loads -= before.loads;
  return after;
}

int
report(const load::Run& aRun,
       const load::UpstreamRecords& aRecords,
       const std::string& aFile)
{
  if (!aFile.empty()) {
    std::ofstream lines(aFile);
    for (std::size_t index = 0; index < aRun.results.size(); ++index) {
      lines << load::recordLine(aRun, index).dump() << "\n";
    }
  }
  for (const nlohmann::json& line : load::measure(aRun, aRecords)) {
    std::cout << line.dump() << "\n";
  }
  const load::SafetyCounts counts = load::countSafety(aRun, aRecords);
  const bool safe = counts.doubleRuns + counts.falseNotRun +
                      counts.foreignAnswers + counts.cutAnswers +
                      counts.keysSeen + aRecords.overcommits ==
                    0;
  return safe ? 0 : kUnsafeExitCode;
}

base::Result<int>
run(Arguments& aArguments)
{
  BOOST_LEAF_AUTO(scenario, readScenario(aArguments));
  const std::vector<load::PlannedRequest> plan = load::makePlan(scenario);
  http::Loop loop;
  load::Runner runner(loop, scenario, plan);
  const load::UpstreamRecords records = runLoad(scenario, runner, loop);
  const docopt::value& file = aArguments["--records"];
  return report(
    { scenario, plan, runner.results() }, records, file ? file.asString() : "");
}

} // namespace

int
main(int aCount, char** aValues)
{
  auto arguments = docopt::docopt(kUsage,
                                  { aValues + 1, aValues + aCount },
                                  true,
                                  "marigold-load " MARIGOLD_VERSION);
  return observe::runMain([&] { return run(arguments); });
}
