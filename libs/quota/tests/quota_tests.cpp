/** @file Tests of the quota library against one exact bucket. */
#include "quota/quota.h"

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/TestHarness.h>
#include <deque>

using namespace marigold;
using namespace std::chrono_literals;
using base::TimePoint;

namespace {

constexpr double kRate = 1000;
constexpr double kBurst = 1000;
constexpr base::Duration kStep = 10ms;

/** A fleet whose VMs report to each other unless they are cut off. */
class FleetModel
{
public:
  explicit FleetModel(std::size_t aVms)
    : quotas(aVms)
    , cutOff(aVms, false)
  {
    for (std::size_t vm = 0; vm < aVms; ++vm) {
      quotas[vm].setLimits({ { "t", { kRate, kBurst } } }, now);
      registerPeers(vm, {});
    }
  }

  static std::string name(std::size_t aVm)
  {
    return "vm" + std::to_string(aVm);
  }

  /** @param aGone VMs whose registration ended */
  void registerPeers(std::size_t aVm, const std::vector<std::size_t>& aGone)
  {
    std::vector<std::string> peers;
    for (std::size_t other = 0; other < quotas.size(); ++other) {
      const bool gone =
        std::find(aGone.begin(), aGone.end(), other) != aGone.end();
      if (other != aVm && !gone) {
        peers.push_back(name(other));
      }
    }
    quotas[aVm].setPeers(peers, now);
  }

  /** Lets time pass; every VM asks for as much as it can get if it floods. */
  void run(base::Duration aTime, const std::vector<bool>& aFloods)
  {
    const TimePoint end = now + aTime;
    for (unsigned step = 0; now < end; ++step) {
      now += kStep;
      for (std::size_t vm = 0; vm < quotas.size(); ++vm) {
        constexpr double kCost = 20;
        constexpr int kTries = 20;
        for (int tries = 0; aFloods[vm] && tries < kTries; ++tries) {
          if (quotas[vm].admit("t", kCost, now).admitted) {
            admitted.emplace_back(now, kCost);
          }
        }
      }
      constexpr unsigned kStepsPerReport = 10;
      if (step % kStepsPerReport == 0) {
        report();
      }
    }
  }

  /** @return most units admitted in any window of eight seconds */
  double mostInWindow() const
  {
    constexpr base::Duration kWindow = 8s;
    double most = 0;
    double sum = 0;
    std::size_t first = 0;
    for (const auto& [at, cost] : admitted) {
      sum += cost;
      while (admitted[first].first < at - kWindow) {
        sum -= admitted[first++].second;
      }
      most = std::max(most, sum);
    }
    return most;
  }

  double total() const
  {
    double sum = 0;
    for (const auto& [at, cost] : admitted) {
      sum += cost;
    }
    return sum;
  }

  std::vector<quota::FleetQuota> quotas;
  std::vector<bool> cutOff;
  TimePoint now{ 1000s };
  std::deque<std::pair<TimePoint, double>> admitted;

private:
  void report()
  {
    for (std::size_t from = 0; from < quotas.size(); ++from) {
      for (std::size_t to = 0; to < quotas.size(); ++to) {
        if (from != to && !cutOff[from] && !cutOff[to]) {
          quotas[to].onPeerUsage(name(from), 1, quotas[from].usage(), now);
        }
      }
    }
  }
};

/** Rate and burst over the window with the overshoot that is allowed. */
constexpr double kAllowedIn8s = (kRate * 8 + kBurst) * 1.1;

} // namespace

TEST_GROUP(Quota){};

// Guards against teams that get more by spreading over all VMs.
TEST(Quota, FloodOnAllVmsStaysWithinRateAndBurst)
{
  FleetModel fleet(6);
  fleet.run(3s, std::vector<bool>(6, false));
  fleet.run(20s, std::vector<bool>(6, true));
  CHECK(fleet.mostInWindow() <= kAllowedIn8s);
}

// Guards against wrongful refusals when all of a team's requests reach one VM.
TEST(Quota, OneVmCanUseTheWholeRate)
{
  FleetModel fleet(6);
  fleet.run(3s, std::vector<bool>(6, false));
  std::vector<bool> one(6, false);
  one[2] = true;
  fleet.run(20s, one);
  CHECK(fleet.total() >= 0.97 * (kRate * 20 + kBurst));
}

// Guards against a cut-off VM that still admits its share after its peers have
// given that share to the rest: its lease ends, but callers still reach it.
TEST(Quota, CutOffVmsDoNotAddToTheRate)
{
  FleetModel fleet(6);
  fleet.run(3s, std::vector<bool>(6, false));
  fleet.cutOff[0] = fleet.cutOff[1] = true;
  fleet.run(1s, std::vector<bool>(6, true));
  for (std::size_t vm = 2; vm < 6; ++vm) {
    fleet.registerPeers(vm, { 0, 1 });
  }
  fleet.run(20s, std::vector<bool>(6, true));
  CHECK(fleet.mostInWindow() <= kAllowedIn8s);
}

// Guards against a VM that is refused its share for an hour-long partition.
TEST(Quota, CutOffVmKeepsItsShare)
{
  FleetModel fleet(4);
  fleet.run(3s, std::vector<bool>(4, false));
  fleet.cutOff[0] = true;
  std::vector<bool> alone(4, false);
  alone[0] = true;
  // Units that it takes before it notices the cut count towards its share.
  fleet.run(25s, alone);
  CHECK(fleet.total() >= 0.97 * (kRate * 25 + kBurst) / 4);
}

// Guards against a VM that comes back from a pause with a full bucket.
TEST(Quota, PauseEarnsOnlyTheOwnShare)
{
  FleetModel fleet(4);
  fleet.run(2s, std::vector<bool>(4, true));
  const double before = fleet.quotas[0].level("t");
  fleet.now += 300ms;
  fleet.now += 300ms;
  fleet.quotas[0].admit("t", 0, fleet.now);
  CHECK(fleet.quotas[0].level("t") - before <= kRate / 4 * 0.6 + 1);
}

// Guards against a departed VM whose share stays reserved without need.
TEST(Quota, DepartedVmFreesItsShare)
{
  FleetModel fleet(2);
  fleet.run(1s, { false, false });
  fleet.quotas[0].setPeers({}, fleet.now);
  LONGS_EQUAL(1, fleet.quotas[0].unregistered().size());
  fleet.quotas[0].onPeerDraining("vm1", fleet.now);
  CHECK(fleet.quotas[0].unregistered().empty());
}

// Guards against tokens that vanish when a configuration repeats a limit.
TEST(Quota, UnchangedLimitKeepsTheLevel)
{
  FleetModel fleet(1);
  fleet.run(3s, { false });
  fleet.quotas[0].admit("t", 100, fleet.now);
  const double before = fleet.quotas[0].level("t");
  fleet.quotas[0].setLimits({ { "t", { kRate, kBurst } } }, fleet.now);
  DOUBLES_EQUAL(before, fleet.quotas[0].level("t"), 0.001);
}

// Guards against teams without a quota being limited.
TEST(Quota, TeamWithoutLimitIsAdmitted)
{
  quota::FleetQuota quota;
  CHECK(quota.admit("x", 1e9, TimePoint{ 1s }).admitted);
}

// Guards against a report of the process before, which arrives late through a
// relay and makes the same units count twice.
TEST(Quota, LateReportOfTheProcessBeforeCountsOnce)
{
  const base::TimePoint start{ 100s };
  quota::FleetQuota quota;
  quota.setLimits({ { "t", { 100, 1000 } } }, start);
  quota.setPeers({ "vm2" }, start);
  quota.onPeerUsage("vm2", 1, { { "t", 0 } }, start);
  quota.onPeerUsage("vm2", 1, { { "t", 300 } }, start);
  const double before = quota.level("t");
  quota.onPeerUsage("vm2", 2, { { "t", 50 } }, start);
  quota.onPeerUsage("vm2", 1, { { "t", 300 } }, start);
  quota.onPeerUsage("vm2", 2, { { "t", 50 } }, start);
  DOUBLES_EQUAL(before - 50, quota.level("t"), 0.1);
}

// Guards against a report that names some teams only and makes the totals of
// the others count again.
TEST(Quota, ReportOfSomeTeamsKeepsTheOtherTotals)
{
  const base::TimePoint start{ 100s };
  quota::FleetQuota quota;
  quota.setLimits({ { "t", { 100, 1000 } }, { "s", { 100, 1000 } } }, start);
  quota.setPeers({ "vm2" }, start);
  quota.onPeerUsage("vm2", 1, { { "t", 0 }, { "s", 0 } }, start);
  quota.onPeerUsage("vm2", 1, { { "t", 300 }, { "s", 200 } }, start);
  const double before = quota.level("t");
  quota.onPeerUsage("vm2", 1, { { "s", 250 } }, start);
  quota.onPeerUsage("vm2", 1, { { "t", 300 }, { "s", 250 } }, start);
  DOUBLES_EQUAL(before, quota.level("t"), 0.1);
}

// Load pattern: a relay dies and its data centre is silent for a moment. What
// the silent VMs did not use must come back, or teams are refused within their
// rate.
TEST(Quota, ShortSilenceOfAnIdlePeerCostsNothing)
{
  base::TimePoint now{ 100s };
  quota::FleetQuota quota;
  quota.setReportPeriod(100ms);
  quota.setPeers({ "vm2" }, now);
  quota.setLimits({ { "t", { 100, 1000 } } }, now);
  const auto run = [&](base::Duration aFor, bool aHeard) {
    for (const auto end = now + aFor; now < end; now += 100ms) {
      if (aHeard) {
        quota.onPeerUsage("vm2", 1, { { "t", 7 } }, now);
      }
      quota.admit("t", 0, now);
    }
  };
  run(20s, true);
  const double before = quota.level("t");
  run(2s, false);
  CHECK(quota.level("t") < before - 400);
  run(200ms, true);
  CHECK(quota.level("t") > before - 50);
}

// Guards against units that come back before a report tells that the silent
// peer did not use them.
TEST(Quota, ReserveStaysUntilTheTeamIsReported)
{
  base::TimePoint now{ 100s };
  quota::FleetQuota quota;
  quota.setReportPeriod(100ms);
  quota.setPeers({ "vm2" }, now);
  quota.setLimits({ { "t", { 100, 1000 } } }, now);
  for (const auto end = now + 20s; now < end; now += 100ms) {
    quota.onPeerUsage("vm2", 1, { { "t", 7 } }, now);
    quota.admit("t", 0, now);
  }
  for (const auto end = now + 2s; now < end; now += 100ms) {
    quota.admit("t", 0, now);
  }
  const double silent = quota.level("t");
  quota.onPeerUsage("vm2", 1, {}, now);
  CHECK(quota.level("t") <= silent + 20);
  quota.onPeerUsage("vm2", 1, { { "t", 607 } }, now);
  CHECK(quota.level("t") < 1000 - 400);
}

// Load pattern: VMs are replaced one after the other under load. A new VM began
// with empty buckets and refused teams far below their rate.
TEST(Quota, NewVmAdoptsTheLevelsOfItsPeers)
{
  base::TimePoint now{ 100s };
  quota::FleetQuota old;
  old.setPeers({ "vm2" }, now);
  old.setLimits({ { "t", { 100, 1000 } } }, now);
  for (const auto end = now + 30s; now < end; now += 100ms) {
    old.onPeerUsage("vm2", 1, { { "t", 0 } }, now);
    old.admit("t", 0, now);
  }
  CHECK(old.admit("t", 300, now).admitted);
  quota::FleetQuota fresh;
  fresh.setPeers({ "vm1" }, now);
  fresh.setLimits({ { "t", { 100, 1000 } } }, now);
  CHECK(!fresh.admit("t", 200, now).admitted);
  fresh.onPeerUsage("vm1", 1, old.usage(), now);
  fresh.adoptLevels(old.levels(now), now);
  CHECK(fresh.admit("t", 200, now + 100ms).admitted);
  CHECK(!fresh.admit("t", 700, now + 100ms).admitted);
}

// Guards against units that several new VMs hand to each other.
TEST(Quota, OnlySettledVmsTellTheirLevels)
{
  base::TimePoint now{ 100s };
  quota::FleetQuota fresh;
  fresh.setPeers({ "vm2" }, now);
  fresh.setLimits({ { "t", { 100, 1000 } } }, now);
  fresh.onPeerUsage("vm2", 1, {}, now);
  now += 400ms;
  fresh.admit("t", 0, now);
  CHECK(fresh.levels(now).empty());
}

// Guards against one side of a partition that tells a new VM more than the
// side's own share.
TEST(Quota, VmThatDoesNotHearAllPeersTellsNoLevels)
{
  base::TimePoint now{ 100s };
  quota::FleetQuota quota;
  quota.setPeers({ "vm2", "vm3" }, now);
  quota.setLimits({ { "t", { 100, 1000 } } }, now);
  for (const auto end = now + 30s; now < end; now += 100ms) {
    quota.onPeerUsage("vm2", 1, { { "t", 0 } }, now);
    quota.admit("t", 0, now);
  }
  CHECK(quota.levels(now).empty());
}

int
main(int aCount, char** aValues)
{
  return CommandLineTestRunner::RunAllTests(aCount, aValues);
}
