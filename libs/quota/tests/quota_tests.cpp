/** @file Tests of the replicated token buckets in small fleets, against the
 * limits of a single exact bucket. */
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

/** A simulated fleet whose VMs exchange usage reports unless partitioned. */
class FleetModel
{
public:
  explicit FleetModel(std::size_t aVms)
    : quotas(aVms)
    , partitioned(aVms, false)
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

  /** @param aVm VM whose peer list is set
   * @param aUnregistered VMs whose registration ended */
  void registerPeers(std::size_t aVm,
                     const std::vector<std::size_t>& aUnregistered)
  {
    std::vector<std::string> peers;
    for (std::size_t other = 0; other < quotas.size(); ++other) {
      const bool unregistered =
        std::find(aUnregistered.begin(), aUnregistered.end(), other) !=
        aUnregistered.end();
      if (other != aVm && !unregistered) {
        peers.push_back(name(other));
      }
    }
    quotas[aVm].setPeers(peers, now);
  }

  /** Advances the simulated time.
   * @param aTime time to advance
   * @param aFlooded by VM, whether callers request units without limit */
  void run(base::Duration aTime, const std::vector<bool>& aFlooded)
  {
    const TimePoint end = now + aTime;
    for (unsigned step = 0; now < end; ++step) {
      now += kStep;
      for (std::size_t vm = 0; vm < quotas.size(); ++vm) {
        constexpr double kCost = 20;
        constexpr int kAttempts = 20;
        for (int attempt = 0; aFlooded[vm] && attempt < kAttempts; ++attempt) {
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

  /** @return maximum number of units admitted in any window of 8 s */
  double maxInWindow() const
  {
    constexpr base::Duration kWindow = 8s;
    double max = 0;
    double sum = 0;
    std::size_t first = 0;
    for (const auto& [at, cost] : admitted) {
      sum += cost;
      while (admitted[first].first < at - kWindow) {
        sum -= admitted[first++].second;
      }
      max = std::max(max, sum);
    }
    return max;
  }

  /** @param aVm VM @return level of its bucket now */
  double level(std::size_t aVm)
  {
    quotas[aVm].admit("t", 0, now);
    return quotas[aVm].level("t");
  }

  /** @return all units admitted so far */
  double totalAdmitted() const
  {
    double sum = 0;
    for (const auto& [at, cost] : admitted) {
      sum += cost;
    }
    return sum;
  }

  std::vector<quota::FleetQuota> quotas;
  std::vector<bool> partitioned;
  TimePoint now{ 1000s };
  std::deque<std::pair<TimePoint, double>> admitted;

private:
  void report()
  {
    for (std::size_t from = 0; from < quotas.size(); ++from) {
      for (std::size_t to = 0; to < quotas.size(); ++to) {
        if (from != to && !partitioned[from] && !partitioned[to]) {
          quotas[to].onPeerUsage(
            name(from), 1, quotas[from].reportUsage(), quota::Totals::All, now);
        }
      }
    }
  }
};

/** Units of rate and burst over the window plus the tolerated 10 %. */
constexpr double kAllowedIn8s = (kRate * 8 + kBurst) * 1.1;

} // namespace

TEST_GROUP(Quota){};

// A team must not exceed its limit by spreading its requests over all VMs.
TEST(Quota, FloodOnAllVmsStaysWithinRateAndBurst)
{
  FleetModel fleet(6);
  fleet.run(3s, std::vector<bool>(6, false));
  fleet.run(20s, std::vector<bool>(6, true));
  CHECK(fleet.maxInWindow() <= kAllowedIn8s);
}

// A team must get its whole rate when all of its requests reach one VM.
TEST(Quota, OneVmCanUseTheWholeRate)
{
  FleetModel fleet(6);
  fleet.run(3s, std::vector<bool>(6, false));
  std::vector<bool> one(6, false);
  one[2] = true;
  fleet.run(20s, one);
  CHECK(fleet.totalAdmitted() >= 0.97 * (kRate * 20 + kBurst));
}

// The share of a partitioned VM must stay reserved after its lease expires,
// because callers may still reach the VM.
TEST(Quota, PartitionedVmsDoNotAddToTheRate)
{
  FleetModel fleet(6);
  fleet.run(3s, std::vector<bool>(6, false));
  fleet.partitioned[0] = fleet.partitioned[1] = true;
  fleet.run(1s, std::vector<bool>(6, true));
  for (std::size_t vm = 2; vm < 6; ++vm) {
    fleet.registerPeers(vm, { 0, 1 });
  }
  fleet.run(20s, std::vector<bool>(6, true));
  CHECK(fleet.maxInWindow() <= kAllowedIn8s);
}

// A partitioned VM must be able to admit its share throughout the partition.
TEST(Quota, PartitionedVmKeepsItsShare)
{
  FleetModel fleet(4);
  fleet.run(3s, std::vector<bool>(4, false));
  fleet.partitioned[0] = true;
  std::vector<bool> isolatedOnly(4, false);
  isolatedOnly[0] = true;
  // Units admitted before the VM detects the partition count towards its share.
  fleet.run(25s, isolatedOnly);
  CHECK(fleet.totalAdmitted() >= 0.97 * (kRate * 25 + kBurst) / 4);
}

// A VM that resumes after a pause must not find a full bucket: the peers went
// on consuming meanwhile.
TEST(Quota, PauseRefillsOnlyTheOwnShare)
{
  FleetModel fleet(4);
  fleet.run(2s, std::vector<bool>(4, true));
  const double before = fleet.quotas[0].level("t");
  fleet.now += 300ms;
  fleet.now += 300ms;
  fleet.quotas[0].admit("t", 0, fleet.now);
  CHECK(fleet.quotas[0].level("t") - before <= kRate / 4 * 0.6 + 1);
}

// The share of a VM that drained must be released at once.
TEST(Quota, DrainedVmReleasesItsShare)
{
  FleetModel fleet(2);
  fleet.run(1s, { false, false });
  fleet.quotas[0].setPeers({}, fleet.now);
  LONGS_EQUAL(1, fleet.quotas[0].unregistered().size());
  fleet.quotas[0].onPeerDraining("vm1", 1, fleet.now);
  CHECK(fleet.quotas[0].unregistered().empty());
}

// A reloaded configuration with the same limit must not change the level.
TEST(Quota, UnchangedLimitKeepsTheLevel)
{
  FleetModel fleet(1);
  fleet.run(3s, { false });
  fleet.quotas[0].admit("t", 100, fleet.now);
  const double before = fleet.quotas[0].level("t");
  fleet.quotas[0].setLimits({ { "t", { kRate, kBurst } } }, fleet.now);
  DOUBLES_EQUAL(before, fleet.quotas[0].level("t"), 0.001);
}

// A team without a configured quota is not limited.
TEST(Quota, TeamWithoutLimitIsAdmitted)
{
  quota::FleetQuota quota;
  CHECK(quota.admit("x", 1e9, TimePoint{ 1s }).admitted);
}

// A late report of a VM's previous process, delayed by a relay, must not count
// the same units twice.
TEST(Quota, LateReportOfThePreviousProcessCountsOnce)
{
  const base::TimePoint start{ 100s };
  quota::FleetQuota quota;
  quota.setLimits({ { "t", { 100, 1000 } } }, start);
  quota.setPeers({ "vm2" }, start);
  quota.onPeerUsage("vm2", 1, { { "t", 0 } }, quota::Totals::All, start);
  quota.onPeerUsage("vm2", 1, { { "t", 300 } }, quota::Totals::All, start);
  const double before = quota.level("t");
  quota.onPeerUsage("vm2", 2, { { "t", 50 } }, quota::Totals::All, start);
  quota.onPeerUsage("vm2", 1, { { "t", 300 } }, quota::Totals::All, start);
  quota.onPeerUsage("vm2", 2, { { "t", 50 } }, quota::Totals::All, start);
  DOUBLES_EQUAL(before - 50, quota.level("t"), 0.1);
}

// A VM has stopped as planned, and its next process reports. Guards against a
// debt of all that the former process has consumed, if a relay passes one of
// its last reports on behind that.
TEST(Quota, LateReportOfAProcessThatHasLeftCountsNothing)
{
  const base::TimePoint start{ 100s };
  quota::FleetQuota quota;
  quota.setLimits({ { "t", { 100, 1000 } }, { "s", { 100, 1000 } } }, start);
  quota.setPeers({ "vm2" }, start);
  quota.onPeerUsage("vm2", 1, { { "t", 5000 } }, quota::Totals::All, start);
  quota.onPeerDraining("vm2", 1, start);
  quota.onPeerUsage("vm2", 2, { { "t", 50 } }, quota::Totals::All, start);
  const double before = quota.level("t");
  quota.onPeerUsage("vm2", 1, { { "t", 5000 } }, quota::Totals::Changed, start);
  quota.onPeerUsage(
    "vm2", 1, { { "s", 700 }, { "t", 5000 } }, quota::Totals::All, start);
  DOUBLES_EQUAL(before, quota.level("t"), 0.1);
  DOUBLES_EQUAL(before, quota.level("s"), 0.1);
  quota.onPeerUsage("vm2", 2, { { "t", 80 } }, quota::Totals::All, start);
  DOUBLES_EQUAL(before - 30, quota.level("t"), 0.1);
}

// Guards against a share that is set aside for more than an hour, because a
// peer that has not heard of a planned stop yet reports the VM as unregistered,
// a relay passes an old report on, or its registration is seen for longer.
TEST(Quota, ShareOfADrainedVmStaysReleased)
{
  const base::TimePoint start{ 100s };
  quota::FleetQuota quota;
  quota.setLimits({ { "t", { 100, 1000 } } }, start);
  quota.setPeers({ "vm2", "vm3" }, start);
  for (const char* peer : { "vm2", "vm3" }) {
    quota.onPeerUsage(peer, 1, { { "t", 0 } }, quota::Totals::All, start);
  }
  quota.onPeerDraining("vm3", 1, start);
  quota.addUnregistered({ "vm3" }, start);
  quota.onPeerUsage("vm3", 1, { { "t", 10 } }, quota::Totals::All, start);
  quota.setPeers({ "vm2", "vm3" }, start);
  quota.setPeers({ "vm2" }, start);
  CHECK(quota.unregistered().empty());
  DOUBLES_EQUAL(1, quota.account("t").share, 0.001);
  // The VM's next process takes its share again.
  quota.setPeers({ "vm2", "vm3" }, start);
  DOUBLES_EQUAL(2.0 / 3, quota.account("t").share, 0.001);
  quota.onPeerUsage("vm3", 2, { { "t", 0 } }, quota::Totals::All, start);
  quota.setPeers({ "vm2" }, start);
  LONGS_EQUAL(1, quota.unregistered().size());
}

// Guards against a planned stop that is heard late and takes the next process
// for gone.
TEST(Quota, LateDrainingOfTheFormerProcessReleasesNothing)
{
  const base::TimePoint start{ 100s };
  quota::FleetQuota quota;
  quota.setLimits({ { "t", { 100, 1000 } } }, start);
  quota.setPeers({ "vm2" }, start);
  quota.onPeerUsage("vm2", 2, { { "t", 0 } }, quota::Totals::All, start);
  quota.onPeerDraining("vm2", 1, start);
  quota.setPeers({}, start);
  LONGS_EQUAL(1, quota.unregistered().size());
}

// Peers report a VM as unregistered until its next process is registered.
// Guards against a VM that sets a share aside for itself.
TEST(Quota, VmSetsNoShareAsideForItself)
{
  const base::TimePoint start{ 100s };
  quota::FleetQuota quota;
  quota.setOwnName("vm1");
  quota.setLimits({ { "t", { 100, 1000 } } }, start);
  quota.setPeers({ "vm2" }, start);
  quota.onPeerUsage("vm2", 1, { { "t", 0 } }, quota::Totals::All, start);
  quota.addUnregistered({ "vm1" }, start);
  CHECK(quota.unregistered().empty());
  DOUBLES_EQUAL(1, quota.account("t").share, 0.001);
}

// A report that omits a team must not make that team's total count again when
// it is reported the next time.
TEST(Quota, ReportOfSomeTeamsKeepsTheOtherTotals)
{
  const base::TimePoint start{ 100s };
  quota::FleetQuota quota;
  quota.setLimits({ { "t", { 100, 1000 } }, { "s", { 100, 1000 } } }, start);
  quota.setPeers({ "vm2" }, start);
  quota.onPeerUsage(
    "vm2", 1, { { "t", 0 }, { "s", 0 } }, quota::Totals::All, start);
  quota.onPeerUsage(
    "vm2", 1, { { "t", 300 }, { "s", 200 } }, quota::Totals::All, start);
  const double before = quota.level("t");
  quota.onPeerUsage("vm2", 1, { { "s", 250 } }, quota::Totals::Changed, start);
  quota.onPeerUsage(
    "vm2", 1, { { "t", 300 }, { "s", 250 } }, quota::Totals::All, start);
  DOUBLES_EQUAL(before, quota.level("t"), 0.1);
}

// When a relay fails, the VMs of its data centre are unreachable for a moment.
// Their unused reserves must be merged back afterwards; otherwise teams are
// refused within their rate.
TEST(Quota, UnusedReserveOfAnIdlePeerIsMergedBack)
{
  base::TimePoint now{ 100s };
  quota::FleetQuota quota;
  quota.setReportPeriod(100ms);
  quota.setPeers({ "vm2" }, now);
  quota.setLimits({ { "t", { 100, 1000 } } }, now);
  const auto run = [&](base::Duration aTime, bool aReports) {
    for (const auto end = now + aTime; now < end; now += 100ms) {
      if (aReports) {
        quota.onPeerUsage("vm2", 1, { { "t", 7 } }, quota::Totals::All, now);
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

// A reserve must not be merged back before a report shows how much of it the
// unreachable peer consumed.
TEST(Quota, ReserveStaysUntilTheTeamIsReported)
{
  base::TimePoint now{ 100s };
  quota::FleetQuota quota;
  quota.setReportPeriod(100ms);
  quota.setPeers({ "vm2" }, now);
  quota.setLimits({ { "t", { 100, 1000 } } }, now);
  for (const auto end = now + 20s; now < end; now += 100ms) {
    quota.onPeerUsage("vm2", 1, { { "t", 7 } }, quota::Totals::All, now);
    quota.admit("t", 0, now);
  }
  for (const auto end = now + 2s; now < end; now += 100ms) {
    quota.admit("t", 0, now);
  }
  const double whileUnreachable = quota.level("t");
  quota.onPeerUsage("vm2", 1, {}, quota::Totals::Changed, now);
  CHECK(quota.level("t") <= whileUnreachable + 20);
  quota.onPeerUsage("vm2", 1, { { "t", 607 } }, quota::Totals::All, now);
  CHECK(quota.level("t") < 1000 - 400);
}

// The log line of a refusal must tell an empty bucket from one whose units are
// reserved for VMs that cannot be reached, and from a debt.
TEST(Quota, AccountTellsWhichPartIsMissing)
{
  base::TimePoint now{ 100s };
  quota::FleetQuota quota;
  quota.setReportPeriod(100ms);
  quota.setPeers({ "vm2" }, now);
  quota.setLimits({ { "t", { 100, 1000 } } }, now);
  for (const auto end = now + 20s; now < end; now += 100ms) {
    quota.onPeerUsage("vm2", 1, { { "t", 7 } }, quota::Totals::All, now);
    quota.admit("t", 0, now);
  }
  const quota::Account whole = quota.account("t");
  CHECK(whole.unreachable.empty());
  DOUBLES_EQUAL(1000, whole.level, 1);
  DOUBLES_EQUAL(1000, whole.capacity, 1);
  DOUBLES_EQUAL(0, whole.reserved, 0.1);
  for (const auto end = now + 2s; now < end; now += 100ms) {
    quota.admit("t", 0, now);
  }
  const quota::Account cut = quota.account("t");
  LONGS_EQUAL(1, cut.unreachable.size());
  STRCMP_EQUAL("vm2", cut.unreachable.front().c_str());
  DOUBLES_EQUAL(0.5, cut.share, 0.001);
  DOUBLES_EQUAL(500, cut.capacity, 1);
  DOUBLES_EQUAL(500, cut.reserved, 1);
  STRCMP_EQUAL("level 500 of 500, refilled at 50% of the rate, 500 reserved, "
               "unreachable: vm2",
               quota::describe(cut).c_str());
  quota.onPeerUsage("vm2", 1, { { "t", 1507 } }, quota::Totals::All, now);
  CHECK(!quota.admit("t", 100, now).admitted);
  const quota::Account debt = quota.account("t");
  DOUBLES_EQUAL(100 - debt.level, quota.admit("t", 100, now).missing, 0.1);
  CHECK(debt.level < 0);
  STRCMP_CONTAINS("debt ", quota::describe(debt).c_str());
}

// The line must stay short when a whole data centre cannot be reached.
TEST(Quota, AccountNamesFewPeers)
{
  const quota::Account account{ 0, 100, 0.2, 80, { "a", "b", "c", "d", "e" } };
  STRCMP_CONTAINS("unreachable: a, b, c and 2 more",
                  quota::describe(account).c_str());
}

// In a rolling replacement under load, a new VM with empty buckets would refuse
// teams that are far below their rate.
TEST(Quota, NewVmAdoptsTheLevelsOfItsPeers)
{
  base::TimePoint now{ 100s };
  quota::FleetQuota old;
  old.setPeers({ "vm2" }, now);
  old.setLimits({ { "t", { 100, 1000 } } }, now);
  for (const auto end = now + 30s; now < end; now += 100ms) {
    old.onPeerUsage("vm2", 1, { { "t", 0 } }, quota::Totals::All, now);
    old.admit("t", 0, now);
  }
  CHECK(old.admit("t", 300, now).admitted);
  quota::FleetQuota fresh;
  fresh.setPeers({ "vm1" }, now);
  fresh.setLimits({ { "t", { 100, 1000 } } }, now);
  CHECK(!fresh.admit("t", 200, now).admitted);
  fresh.onPeerUsage("vm1", 1, old.reportUsage(), quota::Totals::All, now);
  fresh.adoptLevels(old.levels(now), now);
  CHECK(fresh.admit("t", 200, now + 100ms).admitted);
  CHECK(!fresh.admit("t", 700, now + 100ms).admitted);
}

// All VMs restart at once, and the callers of a second are back before the VMs
// have found each other. What refills until then must not be lost.
TEST(Quota, VmsThatStartTogetherKeepWhatRefillsUntilTheyMeet)
{
  FleetModel fleet(40);
  const std::vector<bool> idle(40, false);
  fleet.partitioned.assign(40, true);
  fleet.run(400ms, idle);
  fleet.partitioned.assign(40, false);
  fleet.run(150ms, idle);
  CHECK(fleet.level(3) >= 0.4 * kRate);
  CHECK(fleet.level(3) <= 0.56 * kRate);
  fleet.run(10s, idle);
  DOUBLES_EQUAL(kBurst, fleet.level(3), 0.01 * kBurst);
}

// The share of a VM that is heard only later may have been used on its side.
TEST(Quota, VmsThatMeetAfterAPartitionGainNoRefillOfTheStart)
{
  FleetModel fleet(40);
  const std::vector<bool> idle(40, false);
  fleet.partitioned.assign(40, true);
  fleet.run(1500ms, idle);
  fleet.partitioned.assign(40, false);
  fleet.run(20ms, idle);
  CHECK(fleet.level(3) <= 0.1 * kRate);
}

// New VMs must not pass levels to each other that nobody has confirmed.
TEST(Quota, OnlyWarmVmsPublishTheirLevels)
{
  base::TimePoint now{ 100s };
  quota::FleetQuota fresh;
  fresh.setPeers({ "vm2" }, now);
  fresh.setLimits({ { "t", { 100, 1000 } } }, now);
  fresh.onPeerUsage("vm2", 1, {}, quota::Totals::All, now);
  now += 400ms;
  fresh.admit("t", 0, now);
  CHECK(fresh.levels(now).empty());
}

// One side of a partition must not pass a new VM the level of its own side as
// that of the whole fleet.
TEST(Quota, VmWithAnUnreachablePeerPublishesNoLevels)
{
  base::TimePoint now{ 100s };
  quota::FleetQuota quota;
  quota.setPeers({ "vm2", "vm3" }, now);
  quota.setLimits({ { "t", { 100, 1000 } } }, now);
  for (const auto end = now + 30s; now < end; now += 100ms) {
    quota.onPeerUsage("vm2", 1, { { "t", 0 } }, quota::Totals::All, now);
    quota.admit("t", 0, now);
  }
  CHECK(quota.levels(now).empty());
}

// Summaries contain only the totals that changed lately. A new VM must not take
// the first total that it sees of a team as units consumed just now.
TEST(Quota, NewVmIsNotChargedForEarlierUsage)
{
  TimePoint now{ 100s };
  quota::FleetQuota quota;
  quota.setReportPeriod(100ms);
  quota.setPeers({ "vm2" }, now);
  quota.setLimits({ { "t", { 100, 1000 } }, { "s", { 100, 1000 } } }, now);
  const auto run = [&](const quota::Usage& aUsage, quota::Totals aTotals) {
    now += 100ms;
    quota.onPeerUsage("vm2", 1, aUsage, aTotals, now);
  };
  run({ { "t", 70000 } }, quota::Totals::Changed);
  const double before = quota.level("s");
  run({ { "t", 70000 }, { "s", 80000 } }, quota::Totals::Changed);
  CHECK(quota.level("s") >= before);
  // Once all totals are known, those of further teams count from zero.
  run({ { "t", 70000 }, { "s", 80000 } }, quota::Totals::All);
  quota.setLimits(
    { { "t", { 100, 1000 } }, { "s", { 100, 1000 } }, { "u", { 100, 1000 } } },
    now);
  run({ { "u", 300 } }, quota::Totals::Changed);
  CHECK(quota.level("u") <= -250);
}

// A team that a peer never admitted is missing in all of its reports; its
// reserve must be merged back nevertheless.
TEST(Quota, ReserveOfATeamThatThePeerNeverAdmittedIsMergedBack)
{
  TimePoint now{ 100s };
  quota::FleetQuota quota;
  quota.setReportPeriod(100ms);
  quota.setPeers({ "vm2" }, now);
  quota.setLimits({ { "t", { 10, 1000 } } }, now);
  const auto run = [&](base::Duration aTime, bool aReports) {
    for (const auto end = now + aTime; now < end; now += 100ms) {
      if (aReports) {
        quota.onPeerUsage("vm2", 1, {}, quota::Totals::All, now);
      }
      quota.admit("t", 0, now);
    }
  };
  run(120s, true);
  DOUBLES_EQUAL(1000, quota.level("t"), 1);
  run(2s, false);
  DOUBLES_EQUAL(500, quota.level("t"), 1);
  run(200ms, true);
  CHECK(quota.level("t") > 950);
}

// A request that is refused because the engines are overloaded has taken no
// units. Guards against peers that count them nevertheless and refuse the team.
TEST(Quota, RefundBeforeAReportIsNeverReported)
{
  const TimePoint now{ 100s };
  quota::FleetQuota quota;
  quota.setLimits({ { "t", { 100, 1000 } } }, now);
  quota.admit("t", 0, now + 20s);
  CHECK(quota.admit("t", 300, now + 20s).admitted);
  quota.refund("t", 300);
  DOUBLES_EQUAL(0, quota.reportUsage().at("t"), 0.001);
  CHECK(quota.admit("t", 200, now + 20s).admitted);
  DOUBLES_EQUAL(200, quota.reportUsage().at("t"), 0.001);
  // Usage that peers have heard of is never lowered.
  quota.refund("t", 200);
  DOUBLES_EQUAL(200, quota.reportUsage().at("t"), 0.001);
  DOUBLES_EQUAL(1000, quota.level("t"), 0.001);
}

// A request is refused some time after it was charged, when a report has told
// peers of its units. Guards against peers that never get them back and refuse
// requests within the limit.
TEST(Quota, UnitsRefundedAfterAReportComeBackToPeers)
{
  FleetModel fleet(2);
  const std::vector<bool> none(2, false);
  fleet.run(3s, none);
  auto& own = fleet.quotas[0];
  auto& peer = fleet.quotas[1];
  CHECK(own.admit("t", 600, fleet.now).admitted);
  fleet.run(50ms, none);
  own.refund("t", 600);
  DOUBLES_EQUAL(450, fleet.level(1), 30);
  CHECK(own.admit("t", 400, fleet.now).admitted);
  fleet.run(50ms, none);
  DOUBLES_EQUAL(500, fleet.level(1), 30);
  CHECK(own.admit("t", 400, fleet.now).admitted);
  fleet.run(50ms, none);
  DOUBLES_EQUAL(fleet.level(0), fleet.level(1), 30);
  CHECK(!peer.admit("t", 400, fleet.now).admitted);
}

// Guards against units that come back twice: by the refund, and because the
// peers' buckets are full again.
TEST(Quota, RefundedUnitsThatPeersHaveRefilledAreReportedAgain)
{
  FleetModel fleet(2);
  const std::vector<bool> none(2, false);
  fleet.run(3s, none);
  CHECK(fleet.quotas[0].admit("t", 600, fleet.now).admitted);
  fleet.run(50ms, none);
  fleet.quotas[0].refund("t", 600);
  fleet.run(1s, none);
  CHECK(fleet.quotas[0].admit("t", 600, fleet.now).admitted);
  fleet.run(50ms, none);
  DOUBLES_EQUAL(450, fleet.level(1), 30);
}

// Requests are charged, reported and refunded while the team floods all VMs.
// Guards against refunds that let a team exceed its limit.
TEST(Quota, FloodWithLateRefundsStaysWithinRateAndBurst)
{
  FleetModel fleet(6);
  const std::vector<bool> none(6, false);
  fleet.run(3s, none);
  for (std::size_t round = 0; round < 60; ++round) {
    auto& quota = fleet.quotas[round % 6];
    const bool admitted = quota.admit("t", 300, fleet.now).admitted;
    fleet.run(200ms, none);
    if (admitted) {
      quota.refund("t", 300);
    }
    fleet.run(300ms, std::vector<bool>(6, true));
  }
  CHECK(fleet.maxInWindow() <= kAllowedIn8s);
}

int
main(int aCount, char** aValues)
{
  return CommandLineTestRunner::RunAllTests(aCount, aValues);
}
