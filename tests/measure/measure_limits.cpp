/** @file Measures wrongful refusals, over-admission and message counts of
 * policies for team limits. */
#include "tests/measure/limits_fleet.h"

#include <algorithm>
#include <cmath>
#include <docopt/docopt.h>
#include <functional>
#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>

using namespace marigold;
using namespace marigold::measure;
using nlohmann::json;

namespace {

constexpr const char* kUsage =
  R"(Measures policies for team limits in virtual time.

Usage:
  measure-limits [--scenario NAME] [--policy NAME] [--seed N] [--load PART]
                 [--rate N] [--slack N]
  measure-limits (-h | --help)

Options:
  --scenario NAME  even, one-vm, one-data-centre, turning, over-rate, cut-off,
                   vm-lost, vm-lost-platform-down or messages [default: all].
  --policy NAME    quota, static or central [default: all].
  --seed N         Seed of the traffic [default: 1].
  --load PART      Charged tokens of an in-rate team as a part of its rate
                   [default: 0.8].
  --rate N         Tokens per second and burst of each team [default: 20000].
  --slack N        Overdraft in tokens that the policy quota tolerates
                   [default: 17000].
  -h --help        Show this text.

Prints one JSON object per line. Exits with 1 if the policy quota misses a
target of docs/design.md section 1.
)";

constexpr double kMeanCostTokens = 400;
constexpr double kOverRateLoad = 4; ///< demand per rate
constexpr double kWarmUpSeconds = 5;
constexpr double kScenarioSeconds = 65;
constexpr double kTrafficShiftPeriodSeconds = 10;
/** Requests this soon after a traffic shift are not counted. */
constexpr double kTrafficShiftGraceSeconds = 1;
constexpr double kIsolationSeconds = 3600;
constexpr double kVmLostAtSeconds = 20;
constexpr double kVmReplacedAtSeconds = 25;
constexpr double kReplacementGraceSeconds = 2;
constexpr double kEvenTrafficTarget = 1;          ///< per thousand
constexpr double kConcentratedTrafficTarget = 10; ///< per thousand

struct Options
{
  std::string scenario;
  std::uint64_t seed = 1;
  double load = 0.8;
  double rate = 20000;  ///< tokens per second and burst of a team
  double slack = 17000; ///< tokens

  TeamLimits limits() const { return { rate, rate, slack }; }
};

/** Requests of one team. */
struct Traffic
{
  double rate = 0; ///< charged tokens per second
  int team = 0;
  std::function<int(double, base::Random&)> chooseVm; ///< by arrival time
  std::function<bool(double)> isCounted;
  double maxRefundShare = 0.6; ///< of the charge
};

/** Schedules Poisson arrivals of one team. */
void
addTraffic(LimitsFleet& aFleet,
           const Traffic& aTraffic,
           double aUntil,
           base::Random& aRandom)
{
  const double arrivals = aTraffic.rate / kMeanCostTokens;
  double time = 0;
  while (true) {
    time -= std::log(1 - aRandom.unit()) / arrivals;
    if (time >= aUntil) {
      return;
    }
    Arrival arrival;
    arrival.at = time;
    arrival.team = aTraffic.team;
    arrival.vm = aTraffic.chooseVm(time, aRandom);
    arrival.cost = kMeanCostTokens * (0.5 + aRandom.unit());
    arrival.refundTokens =
      arrival.cost * aTraffic.maxRefundShare * aRandom.unit();
    arrival.durationSeconds = 0.5 + 2.5 * aRandom.unit();
    aFleet.scheduleRequest(arrival, aTraffic.isCounted(time));
  }
}

int
anyVm(const LimitsFleet& aFleet, double /*aTime*/, base::Random& aRandom)
{
  return static_cast<int>(aRandom.below(aFleet.vms()));
}

/** Distribution of requests over the VMs, and faults. */
struct Scenario
{
  std::string name;
  double durationSeconds = kScenarioSeconds;
  double maxWrongfulPerThousand = kConcentratedTrafficTarget; ///< target
  std::function<int(const LimitsFleet&, double, base::Random&)> chooseVm =
    anyVm;
  int overRateTeam = -1;
  std::function<void(LimitsFleet&)> injectFaults = [](LimitsFleet&) {};
  /** Counts what callers meet behind a load balancer that avoids VMs that
   * aren't ready; the figure without one is printed beside it. */
  bool balanced = false;
  std::function<bool(double)> isCounted = [](double aTime) {
    return aTime >= kWarmUpSeconds;
  };
};

/** Fails VM 1 and replaces it. */
std::function<void(LimitsFleet&)>
vmLoss(double aStoreDelaySeconds)
{
  return [aStoreDelaySeconds](LimitsFleet& aFleet) {
    aFleet.schedule(kVmLostAtSeconds, [&aFleet] { aFleet.failVm(1); });
    aFleet.schedule(kVmReplacedAtSeconds, [&aFleet, aStoreDelaySeconds] {
      aFleet.replaceVm(1, aStoreDelaySeconds);
    });
  };
}

std::vector<Scenario>
scenarios()
{
  const auto afterReplacement = [](double aTime) {
    return aTime >= kVmReplacedAtSeconds + kReplacementGraceSeconds;
  };
  const auto makeScenario = [](const char* aName, double aTarget) {
    Scenario scenario;
    scenario.name = aName;
    scenario.maxWrongfulPerThousand = aTarget;
    return scenario;
  };
  const Scenario even = makeScenario("even", kEvenTrafficTarget);
  Scenario oneVm = makeScenario("one-vm", kConcentratedTrafficTarget);
  oneVm.chooseVm = [](const LimitsFleet&, double, base::Random&) { return 0; };
  Scenario oneDataCentre =
    makeScenario("one-data-centre", kConcentratedTrafficTarget);
  oneDataCentre.chooseVm =
    [](const LimitsFleet&, double, base::Random& aRandom) {
      return static_cast<int>(aRandom.below(2));
    };
  Scenario shifting = makeScenario("turning", kConcentratedTrafficTarget);
  shifting.chooseVm =
    [](const LimitsFleet& aFleet, double aTime, base::Random& aRandom) {
      const int shifts = static_cast<int>(aTime / kTrafficShiftPeriodSeconds);
      return (shifts * 2 + static_cast<int>(aRandom.below(2))) % aFleet.vms();
    };
  shifting.isCounted = [](double aTime) {
    return aTime >= kTrafficShiftPeriodSeconds &&
           std::fmod(aTime, kTrafficShiftPeriodSeconds) >=
             kTrafficShiftGraceSeconds;
  };
  Scenario overRate = makeScenario("over-rate", kEvenTrafficTarget);
  overRate.overRateTeam = 0;
  Scenario vmLost = makeScenario("vm-lost", kConcentratedTrafficTarget);
  vmLost.injectFaults = vmLoss(1);
  vmLost.isCounted = afterReplacement;
  Scenario vmLostPlatformDown = vmLost;
  vmLostPlatformDown.name = "vm-lost-platform-down";
  vmLostPlatformDown.injectFaults = vmLoss(-1);
  vmLostPlatformDown.balanced = true;
  return { even,     oneVm,  oneDataCentre,     shifting,
           overRate, vmLost, vmLostPlatformDown };
}

const std::vector<FleetSize> kDeployments = {
  { "kochi", 3, 2, 5, 0.001 },
  { "hreinsun", 3, 2, 5, 0.0015 },
  // The same fleet with its data centres in different regions.
  { "regions", 3, 2, 5, 0.024, false },
};

const std::map<std::string, Policy> kPolicies = {
  { "quota", Policy::Quota },
  { "static", Policy::Static },
  { "central", Policy::Central },
};

double
perThousand(std::uint64_t aPart, std::uint64_t aWhole)
{
  return aWhole == 0
           ? 0
           : 1000.0 * static_cast<double>(aPart) / static_cast<double>(aWhole);
}

/** Plays a scenario; the counters of the fleet are its result.
 * @param aBalanced whether a load balancer avoids VMs that aren't ready */
std::unique_ptr<LimitsFleet>
playScenario(const Scenario& aScenario,
             const FleetSize& aSize,
             const std::string& aPolicy,
             const Options& aOptions,
             bool aBalanced)
{
  auto fleet = std::make_unique<LimitsFleet>(
    aSize, kPolicies.at(aPolicy), aOptions.limits());
  if (aBalanced) {
    fleet->avoidUnreadyVms();
  }
  base::Random random(aOptions.seed);
  for (int team = 0; team < aSize.teams; ++team) {
    const double load =
      team == aScenario.overRateTeam ? kOverRateLoad : aOptions.load;
    addTraffic(*fleet,
               { load * aOptions.rate,
                 team,
                 [&](double aTime, base::Random& aRandom) {
                   return aScenario.chooseVm(*fleet, aTime, aRandom);
                 },
                 aScenario.isCounted },
               aScenario.durationSeconds,
               random);
  }
  aScenario.injectFaults(*fleet);
  fleet->runUntil(aScenario.durationSeconds + kTrafficShiftPeriodSeconds);
  return fleet;
}

/** @return the counters of all teams that keep to their rate */
AdmissionCounters
inRateCounters(const LimitsFleet& aFleet,
               const Scenario& aScenario,
               const FleetSize& aSize)
{
  AdmissionCounters inRate;
  for (int team = 0; team < aSize.teams; ++team) {
    if (team != aScenario.overRateTeam) {
      inRate.requests += aFleet.teamCounters(team).requests;
      inRate.refused += aFleet.teamCounters(team).refused;
      inRate.wrongfulRefusals += aFleet.teamCounters(team).wrongfulRefusals;
    }
  }
  return inRate;
}

/** @return false if the policy quota missed its target */
bool
runScenario(const Scenario& aScenario,
            const FleetSize& aSize,
            const std::string& aPolicy,
            const Options& aOptions)
{
  const auto played =
    playScenario(aScenario, aSize, aPolicy, aOptions, aScenario.balanced);
  const LimitsFleet& fleet = *played;
  const AdmissionCounters inRate = inRateCounters(fleet, aScenario, aSize);
  const double wrongfulPerThousand =
    perThousand(inRate.wrongfulRefusals, inRate.requests);
  double overAdmitted = fleet.maxOverAdmittedTokens();
  std::optional<AdmissionCounters> unbalanced;
  if (aScenario.balanced) {
    const auto plain = playScenario(aScenario, aSize, aPolicy, aOptions, false);
    unbalanced = inRateCounters(*plain, aScenario, aSize);
    overAdmitted = std::max(overAdmitted, plain->maxOverAdmittedTokens());
  }
  const bool isQuota = aPolicy == "quota";
  const bool targetMet =
    !isQuota || (wrongfulPerThousand <= aScenario.maxWrongfulPerThousand &&
                 overAdmitted == 0);
  const double vmSeconds = fleet.vms() * aScenario.durationSeconds;
  json line = { { "scenario", aScenario.name },
                { "deployment", aSize.name },
                { "policy", aPolicy },
                { "seed", aOptions.seed },
                { "load", aOptions.load },
                { "rate", aOptions.rate },
                { "requests", inRate.requests },
                { "wrongful_per_thousand", wrongfulPerThousand },
                { "over_admitted_tokens", overAdmitted } };
  if (unbalanced) {
    line["unbalanced_wrongful_per_thousand"] =
      perThousand(unbalanced->wrongfulRefusals, unbalanced->requests);
  }
  if (aScenario.overRateTeam >= 0) {
    const AdmissionCounters& counters =
      fleet.teamCounters(aScenario.overRateTeam);
    line["over_rate_team_admitted_per_rate"] =
      counters.admittedTokens /
      (aOptions.rate * (aScenario.durationSeconds - kWarmUpSeconds));
  }
  if (isQuota) {
    line["above_window_bound_tokens"] = fleet.maxAboveWindowBoundTokens();
    line["messages_per_vm_s"] =
      static_cast<double>(fleet.messages()) / vmSeconds;
    line["bytes_per_vm_s"] =
      static_cast<double>(fleet.messageBytes()) / vmSeconds;
    line["target"] = aScenario.maxWrongfulPerThousand;
    line["met"] = targetMet;
  }
  if (aPolicy == "central") {
    line["calls_per_s"] =
      static_cast<double>(fleet.platformCalls()) / aScenario.durationSeconds;
  }
  std::cout << line << std::endl;
  return targetMet;
}

/** Isolates a data centre for an hour under more load than its share. */
bool
runIsolation(const FleetSize& aSize,
             const std::string& aPolicy,
             const Options& aOptions)
{
  constexpr double kIsolatedDemand = 2; ///< in shares of a data centre
  FleetSize size = aSize;
  size.teams = 1;
  LimitsFleet fleet(size, kPolicies.at(aPolicy), aOptions.limits());
  base::Random random(aOptions.seed);
  // Refunded tokens would be counted again when they are reused, so no request
  // gets a refund. The target is the share that the manifest declares, without
  // the margin for fast clocks.
  const double share = aOptions.rate / size.dataCentres;
  for (int dataCentre = 0; dataCentre < size.dataCentres; ++dataCentre) {
    const double rate = share * (dataCentre == 0 ? kIsolatedDemand : 0.5);
    addTraffic(fleet,
               { rate,
                 0,
                 [dataCentre](double, base::Random& aRandom) {
                   return dataCentre * 2 + static_cast<int>(aRandom.below(2));
                 },
                 [](double aTime) { return aTime >= kWarmUpSeconds; },
                 0 },
               kWarmUpSeconds + kIsolationSeconds,
               random);
  }
  fleet.schedule(kWarmUpSeconds, [&fleet] { fleet.isolate(0); });
  fleet.runUntil(kWarmUpSeconds + kIsolationSeconds);
  const double admitted =
    fleet.vmCounters(0).admittedTokens + fleet.vmCounters(1).admittedTokens;
  const double admittedPerShare = admitted / (share * kIsolationSeconds);
  const double overAdmitted = fleet.maxOverAdmittedTokens();
  const bool isQuota = aPolicy == "quota";
  const bool targetMet =
    !isQuota || (admittedPerShare >= 1 && overAdmitted == 0);
  json line = { { "scenario", "cut-off" },
                { "deployment", size.name },
                { "policy", aPolicy },
                { "seed", aOptions.seed },
                { "admitted_per_own_share", admittedPerShare },
                { "over_admitted_tokens", overAdmitted } };
  if (isQuota) {
    line["above_window_bound_tokens"] = fleet.maxAboveWindowBoundTokens();
    line["target"] = 1;
    line["met"] = targetMet;
  }
  std::cout << line << std::endl;
  return targetMet;
}

/** Prints message rates by number of VMs, data centres and teams. */
void
runMessages(const Options& aOptions)
{
  constexpr double kRequestsPerVm = 20;
  constexpr double kMeasuredSeconds = 20; ///< after the warm-up
  const std::vector<FleetSize> sizes = {
    { "6-vms", 3, 2, 5, 0.001 },
    { "24-vms", 12, 2, 5, 0.001 },
    { "96-vms", 48, 2, 5, 0.001 },
    { "24-vms-3-dc", 3, 8, 5, 0.001 },
    { "24-vms-6-dc", 6, 4, 5, 0.001 },
    { "24-vms-10-teams", 12, 2, 10, 0.001 },
    { "24-vms-20-teams", 12, 2, 20, 0.001 },
  };
  for (const FleetSize& size : sizes) {
    for (const bool even : { true, false }) {
      const int vms = size.dataCentres * size.vmsPerDataCentre;
      const double rate =
        kRequestsPerVm * kMeanCostTokens * vms / size.teams / aOptions.load;
      LimitsFleet fleet(size, Policy::Quota, { rate, rate, aOptions.slack });
      base::Random random(aOptions.seed);
      for (int team = 0; team < size.teams; ++team) {
        addTraffic(fleet,
                   { rate * aOptions.load,
                     team,
                     [&](double, base::Random& aRandom) {
                       // Uneven traffic: one VM per team.
                       return even ? static_cast<int>(aRandom.below(vms))
                                   : team % vms;
                     },
                     [](double aTime) { return aTime >= kWarmUpSeconds; } },
                   kWarmUpSeconds + kMeasuredSeconds,
                   random);
      }
      fleet.runUntil(kWarmUpSeconds);
      const std::uint64_t before = fleet.messages();
      const std::uint64_t bytesBefore = fleet.messageBytes();
      fleet.runUntil(kWarmUpSeconds + kMeasuredSeconds);
      const auto messages = static_cast<double>(fleet.messages() - before);
      const auto bytes =
        static_cast<double>(fleet.messageBytes() - bytesBefore);
      std::uint64_t requests = 0;
      std::uint64_t wrongfulRefusals = 0;
      for (int team = 0; team < size.teams; ++team) {
        requests += fleet.teamCounters(team).requests;
        wrongfulRefusals += fleet.teamCounters(team).wrongfulRefusals;
      }
      std::cout << json{
        { "scenario", "messages" },
        { "traffic", even ? "even" : "one-vm-per-team" },
        { "size", size.name },
        { "vms", vms },
        { "data_centres", size.dataCentres },
        { "teams", size.teams },
        { "messages_per_vm_s", messages / vms / kMeasuredSeconds },
        { "most_messages_of_a_vm_s",
          static_cast<double>(fleet.maxMessagesPerVm()) /
            (kWarmUpSeconds + kMeasuredSeconds) },
        { "bytes_per_message", bytes / std::max(1.0, messages) },
        { "bytes_per_vm_s", bytes / vms / kMeasuredSeconds },
        { "wrongful_per_thousand", perThousand(wrongfulRefusals, requests) }
      } << std::endl;
    }
  }
}

} // namespace

int
main(int aCount, char** aValues)
{
  auto arguments =
    docopt::docopt(kUsage, { aValues + 1, aValues + aCount }, true);
  Options options;
  options.scenario = arguments["--scenario"].asString();
  options.seed = static_cast<std::uint64_t>(arguments["--seed"].asLong());
  options.load = std::stod(arguments["--load"].asString());
  options.rate = std::stod(arguments["--rate"].asString());
  options.slack = std::stod(arguments["--slack"].asString());
  const std::string policy = arguments["--policy"].asString();
  const auto isSelected = [&options](const std::string& aName) {
    return options.scenario == "all" || options.scenario == aName;
  };
  bool targetsMet = true;
  for (const auto& [name, kind] : kPolicies) {
    if (policy != "all" && policy != name) {
      continue;
    }
    for (const FleetSize& size : kDeployments) {
      for (const Scenario& scenario : scenarios()) {
        if (isSelected(scenario.name)) {
          targetsMet = runScenario(scenario, size, name, options) && targetsMet;
        }
      }
      if (isSelected("cut-off")) {
        targetsMet = runIsolation(size, name, options) && targetsMet;
      }
    }
  }
  if (isSelected("messages")) {
    runMessages(options);
  }
  std::cout << json{ { "closing", "measure-limits" },
                     { "targets_met", targetsMet } }
            << std::endl;
  return targetsMet ? 0 : 1;
}
