/** @file Compares routing strategies in virtual time. */
#include "tests/measure/routing_world.h"

#include <docopt/docopt.h>
#include <iostream>
#include <nlohmann/json.hpp>

using namespace marigold;
using routing::StrategyKind;

namespace {

constexpr const char* kUsage = R"(Compares routing strategies in virtual time.

Prints one JSON object per line. Exits with 1 if ours misses a target: 1.3
times the baseline's in-time answers where the baseline misses more than a
quarter, and never below the baseline.

Usage:
  measure-routing [--seed N]
  measure-routing (-h | --help)

Options:
  --seed N   Seed of the load [default: 1].
  -h --help  Show this text.
)";

std::vector<measure::Scenario>
scenarios()
{
  using namespace std::chrono_literals;
  std::vector<measure::Scenario> all;
  for (const auto& [deployment, replicas] :
       { std::pair{ "kochi", 9 }, std::pair{ "hreinsun", 18 } }) {
    measure::Scenario base;
    base.deployment = deployment;
    base.replicas = replicas;
    const auto add = [&](const char* aName, auto aChange) {
      measure::Scenario scenario = base;
      scenario.name = aName;
      aChange(scenario);
      all.push_back(scenario);
    };
    add("steady", [](auto&) {});
    add("steady-overload", [](auto& aScenario) { aScenario.load = 1.3; });
    add("evening-peak", [](auto& aScenario) { aScenario.busiestShare = 0.6; });
    add("delayed-reports", [](auto& aScenario) { aScenario.reportLag = 10s; });
    add("slow-upstream", [](auto& aScenario) { aScenario.slowEngine = true; });
    add("cut-off", [](auto& aScenario) { aScenario.cutOff = true; });
    add("flooding-team", [](auto& aScenario) {
      aScenario.load = 0.6;
      aScenario.floodFactor = 4;
    });
  }
  return all;
}

nlohmann::json
line(const measure::Scenario& aScenario,
     const char* aPolicy,
     const measure::Figures& aFigures)
{
  return { { "deployment", aScenario.deployment },
           { "scenario", aScenario.name },
           { "policy", aPolicy },
           { "offered", aFigures.offered },
           { "in_time", aFigures.inTime },
           { "in_time_per_accelerator", aFigures.perAccelerator },
           { "worst_team", aFigures.worstTeam },
           { "refused", aFigures.refused } };
}

} // namespace

int
main(int aCount, char** aValues)
{
  auto arguments =
    docopt::docopt(kUsage, { aValues + 1, aValues + aCount }, true, "");
  const auto seed = static_cast<std::uint64_t>(arguments["--seed"].asLong());
  bool met = true;
  for (const measure::Scenario& scenario : scenarios()) {
    const auto ours = measure::run(scenario, StrategyKind::Marigold, seed);
    std::cout << line(scenario, "marigold", ours) << "\n";
    for (const auto& [kind, name] :
         { std::pair{ StrategyKind::RoundRobin, "round-robin" },
           std::pair{ StrategyKind::LeastConnections, "least-connections" } }) {
      const auto baseline = measure::run(scenario, kind, seed);
      nlohmann::json row = line(scenario, name, baseline);
      const double ratio =
        static_cast<double>(ours.inTime) / std::max(1, baseline.inTime);
      const bool missesQuarter = baseline.inTime * 4 < baseline.offered * 3;
      const bool reached = ratio >= (missesQuarter ? 1.3 : 1.0);
      met = met && reached;
      row["marigold_ratio"] = ratio;
      row["target_met"] = reached;
      std::cout << row << "\n";
    }
  }
  std::cout << nlohmann::json{ { "targets_met", met } } << "\n";
  return met ? 0 : 1;
}
