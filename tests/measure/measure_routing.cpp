/** @file Compares the choice of an upstream with baselines in virtual time. */
#include "tests/measure/routing_simulation.h"

#include <docopt/docopt.h>
#include <iostream>
#include <nlohmann/json.hpp>

using namespace marigold;
using measure::RoutingPolicy;

namespace {

constexpr const char* kUsage =
  R"(Compares the choice of an upstream with baselines in virtual time.

Prints one JSON object per line. Exits with 1 if marigold
misses a target: 1.3 times the baseline's in-time answers where the baseline
misses more than a quarter, and never below the baseline.

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
  std::vector<measure::Scenario> result;
  for (const auto& [deployment, replicas] :
       { std::pair{ "kochi", 9 }, std::pair{ "hreinsun", 18 } }) {
    measure::Scenario defaults;
    defaults.deployment = deployment;
    defaults.replicas = replicas;
    const auto add = [&](const char* aName, auto aConfigure) {
      measure::Scenario scenario = defaults;
      scenario.name = aName;
      aConfigure(scenario);
      result.push_back(scenario);
    };
    add("steady", [](auto&) {});
    add("steady-overload", [](auto& aScenario) { aScenario.load = 1.3; });
    add("evening-peak",
        [](auto& aScenario) { aScenario.firstDataCentreShare = 0.6; });
    add("delayed-reports", [](auto& aScenario) { aScenario.reportLag = 10s; });
    add("slow-upstream",
        [](auto& aScenario) { aScenario.slowFirstEngine = true; });
    add("cut-off",
        [](auto& aScenario) { aScenario.isolateThirdDataCentre = true; });
    add("flooding-team", [](auto& aScenario) {
      aScenario.load = 0.6;
      aScenario.floodFactor = 4;
    });
  }
  return result;
}

nlohmann::json
makeRow(const measure::Scenario& aScenario,
        const char* aPolicy,
        const measure::RoutingResult& aResult)
{
  return { { "deployment", aScenario.deployment },
           { "scenario", aScenario.name },
           { "policy", aPolicy },
           { "offered", aResult.offered },
           { "in_time", aResult.inTime },
           { "in_time_per_accelerator", aResult.perAccelerator },
           { "worst_team", aResult.worstTeam },
           { "refused", aResult.refused } };
}

} // namespace

int
main(int aCount, char** aValues)
{
  auto arguments =
    docopt::docopt(kUsage, { aValues + 1, aValues + aCount }, true, "");
  const auto seed = static_cast<std::uint64_t>(arguments["--seed"].asLong());
  bool targetsMet = true;
  for (const measure::Scenario& scenario : scenarios()) {
    const auto marigoldResult =
      measure::run(scenario, RoutingPolicy::Marigold, seed);
    std::cout << makeRow(scenario, "marigold", marigoldResult) << "\n";
    for (const auto& [kind, name] :
         { std::pair{ RoutingPolicy::RoundRobin, "round-robin" },
           std::pair{ RoutingPolicy::LeastConnections,
                      "least-connections" } }) {
      const auto baselineResult = measure::run(scenario, kind, seed);
      nlohmann::json row = makeRow(scenario, name, baselineResult);
      const double ratio = static_cast<double>(marigoldResult.inTime) /
                           std::max(1, baselineResult.inTime);
      const bool baselineMissesQuarter =
        baselineResult.inTime * 4 < baselineResult.offered * 3;
      const bool targetMet = ratio >= (baselineMissesQuarter ? 1.3 : 1.0);
      targetsMet = targetsMet && targetMet;
      row["marigold_ratio"] = ratio;
      row["target_met"] = targetMet;
      std::cout << row << "\n";
    }
  }
  std::cout << nlohmann::json{ { "targets_met", targetsMet } } << "\n";
  return targetsMet ? 0 : 1;
}
