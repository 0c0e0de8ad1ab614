/** @file Measures what callers lose by the quotas of VMs that hear of each
 * other's admissions late, and how far floods come to the users' bound. */
#include "quota/tests/relayed_fleet.h"

#include <cmath>
#include <docopt/docopt.h>
#include <iostream>
#include <nlohmann/json.hpp>

using namespace marigold;
using namespace marigold::quota;
using namespace std::chrono_literals;

namespace {

constexpr const char* kUsage =
  R"(Measures quotas under floods and steady demand in virtual time, against one exact bucket.

Usage:
  measure-quota [--fleet NAME] [--scenario NAME] [--seed N] [--seeds N]
  measure-quota (-h | --help)

Options:
  --fleet NAME     small, busy or grown [default: all].
  --scenario NAME  one of the names that are printed [default: all].
  --seed N         First seed of the traffic [default: 1].
  --seeds N        Number of seeds [default: 4].
  -h --help        Show this text.

Prints one JSON object a line, over all seeds: the parts of the requests that were refused, and
that were refused although the exact bucket would have admitted them; admitted units by those of
the exact bucket; the largest part of the users' bound that was used in a window. "after" counts
only the last phase of a scenario. Exits with 1 if a window exceeded the bound.
)";

constexpr double kOvershoot = 0.1;
constexpr double kTolerance = 17'000;
constexpr double kSmallest = 200;
constexpr double kLargest = 4'000;

struct FleetKind
{
  std::string name;
  std::size_t vms = 0;
  test::RelayedFleetShape shape;
  double rate = 0; ///< and burst

  test::FleetSettings settings() const
  {
    return {
      vms, { { test::kTeam, { rate, rate } } }, kTolerance, shape.summaryPeriod
    };
  }

  double allowed() const
  {
    return (rate * 8 + rate) * (1 + kOvershoot) + kTolerance;
  }
};

struct Phase
{
  base::Duration time{};
  double timesRate = 0;
  std::size_t vms = 0; ///< 0: all
  int together = 1;
  std::size_t isolatedEach = 0; ///< every VM of this number is cut off; 0: none
};

struct Scenario
{
  std::string name;
  std::vector<Phase> phases;
};

std::vector<FleetKind>
fleets()
{
  return { { "small", 6, { 3, 100ms, 200ms }, 5'000 },
           { "busy", 6, { 3, 100ms, 200ms }, 20'000 },
           { "grown", 82, { 6, 170ms, 400ms }, 210'000 } };
}

std::vector<Scenario>
scenarios()
{
  const Phase idle{ 4s, 0 };
  const Phase usual{ 8s, 0.55 };
  const Phase high{ 3s, 1.8 };
  const Phase low{ 5s, 0.4 };
  return {
    { "usual", { idle, { 30s, 0.55 } } },
    { "near", { idle, { 30s, 0.9 } } },
    { "at-rate", { idle, { 30s, 1 } } },
    { "above", { idle, { 30s, 1.2 } } },
    { "together", { idle, { 30s, 0.9, 0, 3 } } },
    { "bursts", { idle, low, high, low, high, low, high, low, high } },
    { "moves", { idle, { 8s, 0.8 }, { 12s, 0.8, 1 }, { 12s, 0.8 } } },
    { "flood-3", { idle, usual, { 11s, 3.3 }, usual } },
    { "flood-6", { idle, usual, { 15s, 6 }, usual } },
    { "flood-10", { idle, usual, { 15s, 10 }, usual } },
    { "flood-some-vms", { idle, usual, { 15s, 6, 3 }, usual } },
    { "cut-at-flood",
      { { 5s, 0.3 }, { 300ms, 8 }, { 6s, 8, 0, 1, 3 }, { 5s, 8 }, usual } },
    { "flood-cut",
      { { 5s, 0 }, { 5s, 4 }, { 8s, 4, 0, 1, 5 }, { 10s, 4 }, usual } },
  };
}

void
play(test::RelayedFleet& aFleet, const Phase& aPhase)
{
  aFleet.heal();
  if (aPhase.isolatedEach > 0) {
    aFleet.isolateEach(aPhase.isolatedEach);
  }
  const std::size_t vms = aPhase.vms > 0 ? aPhase.vms : aFleet.vms.size();
  aFleet.run(aPhase.time, { aPhase.timesRate, vms, aPhase.together });
}

void
add(test::RequestTally& aSum, const test::RequestTally& aTally)
{
  aSum.offered += aTally.offered;
  aSum.refused += aTally.refused;
  aSum.wrongful += aTally.wrongful;
  aSum.admittedUnits += aTally.admittedUnits;
  aSum.exactUnits += aTally.exactUnits;
}

nlohmann::json
describe(const test::RequestTally& aTally)
{
  const auto rounded = [](double aValue) {
    constexpr double kDigits = 1e4;
    return std::round(aValue * kDigits) / kDigits;
  };
  return { { "refused", rounded(aTally.refused / aTally.offered) },
           { "wrongful", rounded(aTally.wrongful / aTally.offered) },
           { "by_exact", rounded(aTally.admittedUnits / aTally.exactUnits) } };
}

/** @return whether all seeds kept the bound */
bool
measure(const FleetKind& aKind,
        const Scenario& aScenario,
        std::uint32_t aFirstSeed,
        std::uint32_t aSeeds)
{
  test::RequestTally all;
  test::RequestTally last;
  double largest = 0;
  int exceeded = 0;
  for (std::uint32_t seed = aFirstSeed; seed < aFirstSeed + aSeeds; ++seed) {
    test::RelayedFleet fleet(
      aKind.settings(), aKind.shape, kSmallest, kLargest, seed);
    for (const Phase& phase : aScenario.phases) {
      add(all, std::exchange(fleet.tally, {}));
      play(fleet, phase);
    }
    add(all, fleet.tally);
    add(last, fleet.tally);
    const double part = fleet.maxInWindow() / aKind.allowed();
    largest = std::max(largest, part);
    exceeded += part > 1 ? 1 : 0;
  }
  nlohmann::json line = describe(all);
  line["fleet"] = aKind.name;
  line["scenario"] = aScenario.name;
  line["after"] = describe(last);
  line["of_bound"] = std::round(largest * 1e4) / 1e4;
  line["exceeded"] = exceeded;
  std::cout << line.dump() << std::endl;
  return exceeded == 0;
}

} // namespace

int
main(int aCount, char** aValues)
{
  auto arguments =
    docopt::docopt(kUsage, { aValues + 1, aValues + aCount }, true);
  const std::string fleet = arguments["--fleet"].asString();
  const std::string scenario = arguments["--scenario"].asString();
  const auto seed = static_cast<std::uint32_t>(arguments["--seed"].asLong());
  const auto seeds = static_cast<std::uint32_t>(arguments["--seeds"].asLong());
  bool kept = true;
  for (const FleetKind& kind : fleets()) {
    for (const Scenario& each : scenarios()) {
      if ((fleet == "all" || fleet == kind.name) &&
          (scenario == "all" || scenario == each.name)) {
        kept = measure(kind, each, seed, seeds) && kept;
      }
    }
  }
  return kept ? 0 : 1;
}
