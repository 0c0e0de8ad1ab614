/** @file Tests of quotas under network partitions in a fleet of the largest
 * supported size. */
#include "quota/quota.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <deque>
#include <random>

using namespace marigold;
using namespace std::chrono_literals;
using base::TimePoint;

namespace {

constexpr double kRate = 1e6;
constexpr double kBurst = 1e6;
constexpr std::size_t kVms = 81;
constexpr double kShare = 1.0 / kVms;
constexpr base::Duration kStep = 20ms;
constexpr base::Duration kReportPeriod = 200ms;
/** Time for which a changed total is repeated in reports. */
constexpr base::Duration kChangeRepeat = 1s;
/** Period of the reports that contain all totals. */
constexpr base::Duration kFullReportPeriod = 4s;
constexpr base::Duration kWindow = 8s;
constexpr unsigned kMainSide = 0; ///< side of all VMs without a partition

/** A simulated fleet whose VMs receive reports only from VMs on their own side.
 * Reports contain recently changed totals, and all totals every 4 s. */
class PartitionedFleet
{
public:
  explicit PartitionedFleet(std::uint32_t aSeed)
    : mRandom(aSeed)
  {
    for (std::size_t vm = 0; vm < kVms; ++vm) {
      vms.emplace_back();
      start(vm);
    }
  }

  static std::string name(std::size_t aVm)
  {
    return "vm" + std::to_string(aVm);
  }

  /** Starts a new process of a VM, without any state. */
  void start(std::size_t aVm)
  {
    Vm& vm = vms[aVm];
    vm.quota = {};
    ++vm.incarnation;
    vm.changedAt.clear();
    vm.quota.setReportPeriod(kReportPeriod);
    vm.quota.setWindow(window);
    vm.quota.setLimits(
      { { "t", { kRate, kBurst } }, { "idle", { kRate, kBurst } } }, now);
    std::vector<std::string> peers;
    for (std::size_t other = 0; other < kVms; ++other) {
      if (other != aVm) {
        peers.push_back(name(other));
      }
    }
    vm.quota.setPeers(peers, now);
  }

  /** Advances the simulated time.
   * @param aTime time to advance
   * @param aDemand units per second requested from each VM */
  void run(base::Duration aTime, const std::vector<double>& aDemand)
  {
    for (const TimePoint end = now + aTime; now < end;) {
      now += kStep;
      deliver();
      for (std::size_t vm = 0; vm < kVms; ++vm) {
        submitRequests(vm, aDemand[vm]);
      }
      if ((now - TimePoint{}) % kReportPeriod == base::Duration::zero()) {
        report();
      }
    }
  }

  /** @return maximum number of units admitted in any window of 8 s */
  double maxInWindow() const
  {
    double max = 0;
    double sum = 0;
    std::size_t first = 0;
    for (const auto& [at, units] : admitted) {
      sum += units;
      while (admitted[first].first < at - kWindow) {
        sum -= admitted[first++].second;
      }
      max = std::max(max, sum);
    }
    return max;
  }

  struct Vm
  {
    quota::FleetQuota quota;
    base::Incarnation incarnation = 0;
    unsigned side = kMainSide;
    double requested = 0; ///< units requested and not yet processed
    std::map<std::string, TimePoint> changedAt; ///< by team
    double refused = 0;                         ///< units
  };
  std::vector<Vm> vms;
  TimePoint now{ 1000s };
  base::Duration minDelay{};
  base::Duration maxDelay{};
  double cost = 1000;
  base::Duration window = kWindow;
  std::deque<std::pair<TimePoint, double>> admitted;

private:
  struct Report
  {
    std::size_t from = 0;
    base::Incarnation incarnation = 0;
    quota::Usage usage;
    std::vector<bool> reachable; ///< by receiver, when the report was sent
  };

  void submitRequests(std::size_t aVm, double aDemand)
  {
    Vm& vm = vms[aVm];
    vm.requested += aDemand * base::inSeconds(kStep);
    for (; vm.requested >= cost; vm.requested -= cost) {
      if (vm.quota.admit("t", cost, now).admitted) {
        admitted.emplace_back(now, cost);
        vm.changedAt["t"] = now;
      } else {
        vm.refused += cost;
      }
    }
    vm.quota.admit("t", 0, now);
  }

  void report()
  {
    const bool full =
      (now - TimePoint{}) % kFullReportPeriod == base::Duration::zero();
    for (std::size_t from = 0; from < kVms; ++from) {
      Report report{ from, vms[from].incarnation, {}, {} };
      for (const auto& [team, total] : vms[from].quota.usage()) {
        if (full || now - vms[from].changedAt[team] < kChangeRepeat) {
          report.usage[team] = total;
        }
      }
      if (full) {
        report.usage.try_emplace("idle", 0);
        report.usage.try_emplace("t", 0);
      }
      for (const Vm& to : vms) {
        report.reachable.push_back(to.side == vms[from].side);
      }
      std::uniform_int_distribution<base::Duration::rep> delay(
        minDelay.count(), maxDelay.count());
      mInFlight.emplace(now + base::Duration(delay(mRandom)), report);
    }
  }

  void deliver()
  {
    while (!mInFlight.empty() && mInFlight.begin()->first <= now) {
      const Report report = mInFlight.begin()->second;
      mInFlight.erase(mInFlight.begin());
      for (std::size_t to = 0; to < kVms; ++to) {
        if (to != report.from && report.reachable[to]) {
          vms[to].quota.onPeerUsage(
            name(report.from), report.incarnation, report.usage, now);
        }
      }
    }
  }

  std::mt19937 mRandom;
  std::multimap<TimePoint, Report> mInFlight;
};

const std::vector<double> kNoDemand(kVms, 0);

/** Partitions the VM from all others. */
void
isolate(PartitionedFleet& aFleet, std::size_t aVm)
{
  aFleet.vms[aVm].side = static_cast<unsigned>(aVm) + 1;
}

/** Ends all partitions. */
void
heal(PartitionedFleet& aFleet)
{
  for (PartitionedFleet::Vm& vm : aFleet.vms) {
    vm.side = kMainSide;
  }
}

} // namespace

TEST_GROUP(Partition){};

// An isolated VM must not be charged for refill that its full bucket never
// held; otherwise it refuses every team for more than a minute.
TEST(Partition, IsolatedVmWithAFullBucketKeepsExactlyItsShare)
{
  PartitionedFleet fleet(1);
  fleet.run(6s, kNoDemand);
  isolate(fleet, 0);
  fleet.run(2s, kNoDemand);
  DOUBLES_EQUAL(kBurst * kShare, fleet.vms[0].quota.level("t"), 1);
  DOUBLES_EQUAL(kBurst * (1 - kShare), fleet.vms[1].quota.level("t"), 1);
}

// An isolated VM must not refuse a team that uses less than this VM's share,
// neither during the partition nor after it.
TEST(Partition, IsolatedVmsServeTheirShareThroughoutThePartition)
{
  PartitionedFleet fleet(2);
  const std::vector<double> withinShare(kVms, 0.8 * kRate * kShare);
  fleet.run(6s, withinShare);
  constexpr std::size_t kIsolated = 29;
  for (std::size_t vm = 0; vm < kIsolated; ++vm) {
    isolate(fleet, vm);
  }
  for (PartitionedFleet::Vm& vm : fleet.vms) {
    vm.refused = 0;
  }
  fleet.run(12s, withinShare);
  heal(fleet);
  fleet.run(10s, withinShare);
  for (const PartitionedFleet::Vm& vm : fleet.vms) {
    DOUBLES_EQUAL(0, vm.refused, 0);
  }
}

// The debt of an isolated VM must not exceed what it admitted beyond its share
// before it detected the partition.
TEST(Partition, IsolatedVmOwesOnlyWhatItAdmittedBeyondItsShare)
{
  PartitionedFleet fleet(3);
  fleet.run(6s, kNoDemand);
  isolate(fleet, 0);
  std::vector<double> isolatedOnly = kNoDemand;
  isolatedOnly[0] = 0.1 * kRate;
  fleet.run(500ms, isolatedOnly);
  const double before = fleet.vms[0].quota.level("t");
  fleet.run(1s, kNoDemand);
  CHECK(before > 0.9 * kBurst);
  const double admitted = 0.05 * kRate;
  const double minLevel = kBurst * kShare + kRate * kShare * 0.5 - admitted;
  const double level = fleet.vms[0].quota.level("t");
  CHECK(level >= minLevel);
  CHECK(level <= minLevel + 1.5 * kRate * kShare);
}

// The debt of a team over its limit must be divided in a partition. If each
// side kept all of it, every isolated VM would refuse the team until the end.
TEST(Partition, DebtIsDividedBetweenTheSides)
{
  PartitionedFleet fleet(4);
  fleet.maxDelay = 100ms;
  fleet.run(6s, std::vector<double>(kVms, 4 * kRate * kShare));
  quota::FleetQuota& quota = fleet.vms[0].quota;
  quota.onPeerUsage("vm1", 1, { { "t", 1e9 } }, fleet.now);
  const double debt = -quota.level("t");
  CHECK(debt > 10 * kBurst);
  isolate(fleet, 0);
  fleet.run(2s, kNoDemand);
  CHECK(-quota.level("t") < 1.1 * debt * kShare);
}

// An isolated VM must eventually admit a request that costs more than its share
// of the burst, if the team has used little.
TEST(Partition, IsolatedVmBorrowsForARequestBeyondItsShareOfTheBurst)
{
  PartitionedFleet fleet(5);
  fleet.cost = 4 * kBurst * kShare;
  fleet.run(6s, kNoDemand);
  isolate(fleet, 0);
  fleet.run(5s, kNoDemand);
  std::vector<double> isolatedOnly = kNoDemand;
  isolatedOnly[0] = 2 * fleet.cost;
  fleet.run(500ms, isolatedOnly);
  LONGS_EQUAL(1, fleet.admitted.size());
  fleet.run(1s, isolatedOnly);
  LONGS_EQUAL(1, fleet.admitted.size());
  fleet.run(6s, isolatedOnly);
  LONGS_EQUAL(2, fleet.admitted.size());
}

// With limits over a shorter window, isolated VMs must not borrow more than the
// rate over that window.
TEST(Partition, IsolatedVmBorrowsNoMoreThanTheWindowAllows)
{
  PartitionedFleet fleet(5);
  fleet.window = 2s;
  for (std::size_t vm = 0; vm < kVms; ++vm) {
    fleet.start(vm);
  }
  fleet.cost = 4 * kBurst * kShare;
  fleet.run(6s, kNoDemand);
  isolate(fleet, 0);
  fleet.run(8s, kNoDemand);
  std::vector<double> isolatedOnly = kNoDemand;
  isolatedOnly[0] = 2 * fleet.cost;
  fleet.run(2s, isolatedOnly);
  LONGS_EQUAL(0, fleet.admitted.size());
}

// Debts of isolated VMs must outlast the partition; otherwise one window admits
// the borrowed units on top of the whole rate and burst.
TEST(Partition, DebtsOfIsolatedVmsCountAfterThePartition)
{
  PartitionedFleet fleet(6);
  fleet.minDelay = 100ms;
  fleet.maxDelay = 400ms;
  fleet.run(6s, kNoDemand);
  for (std::size_t vm = 0; vm < kVms; ++vm) {
    isolate(fleet, vm);
  }
  fleet.run(12s, kNoDemand);
  fleet.cost = 8 * kBurst * kShare;
  const std::vector<double> oneRequest(kVms, fleet.cost / 0.2);
  fleet.run(200ms, oneRequest);
  LONGS_EQUAL(kVms, fleet.admitted.size());
  heal(fleet);
  fleet.cost = 2000;
  fleet.run(10s, std::vector<double>(kVms, 1.5 * kRate * kShare));
  CHECK(fleet.maxInWindow() <= (kRate * 8 + kBurst) * 1.1);
}

// A peer that becomes unreachable again before it has reported a team must not
// cause a permanent loss of units.
TEST(Partition, FlappingPeerLosesNoUnits)
{
  TimePoint now{ 100s };
  quota::FleetQuota quota;
  quota.setReportPeriod(100ms);
  quota.setPeers({ "vm2" }, now);
  quota.setLimits({ { "t", { 100, 1000 } } }, now);
  const auto run = [&](base::Duration aTime, const quota::Usage* aReport) {
    for (const auto end = now + aTime; now < end; now += 100ms) {
      if (aReport != nullptr) {
        quota.onPeerUsage("vm2", 1, *aReport, now);
      }
      quota.admit("t", 0, now);
    }
  };
  const quota::Usage fullReport{ { "t", 7 } };
  const quota::Usage emptyReport;
  run(20s, &fullReport);
  DOUBLES_EQUAL(1000, quota.level("t"), 1);
  for (int flap = 0; flap < 3; ++flap) {
    run(1300ms, nullptr);
    run(200ms, &emptyReport);
  }
  run(100ms, &fullReport);
  CHECK(quota.level("t") > 950);
}

// A peer that consumed its whole reserve late, after its bucket had long been
// full, must not be credited refill for the whole time; units would count
// twice.
TEST(Partition, PeerThatConsumedItsReserveReturnsNothing)
{
  TimePoint now{ 100s };
  quota::FleetQuota quota;
  quota.setReportPeriod(100ms);
  quota.setPeers({ "vm2" }, now);
  quota.setLimits({ { "t", { 1000, 1000 } } }, now);
  for (const auto end = now + 10s; now < end; now += 100ms) {
    quota.onPeerUsage("vm2", 1, { { "t", 0 } }, now);
    quota.admit("t", 0, now);
  }
  for (const auto end = now + 10s; now < end; now += 100ms) {
    quota.admit("t", 0, now);
  }
  DOUBLES_EQUAL(500, quota.level("t"), 1);
  quota.onPeerUsage("vm2", 1, { { "t", 500 } }, now);
  CHECK(quota.level("t") <= 501);
}

// No sequence of partitions may let a team exceed its limit, with floods on any
// VMs after idle phases, late reports and restarted processes.
TEST(Partition, RandomPartitionsStayWithinRateAndBurst)
{
  constexpr std::uint32_t kFirstSeed = 4;
  constexpr std::uint32_t kLastSeed = 6;
  for (std::uint32_t seed = kFirstSeed; seed <= kLastSeed; ++seed) {
    std::mt19937 random(seed);
    const auto upTo = [&random](unsigned aMost) {
      return std::uniform_int_distribution<unsigned>(0, aMost)(random);
    };
    PartitionedFleet fleet(seed);
    fleet.minDelay = 100ms;
    fleet.maxDelay = 400ms;
    fleet.cost = 2000;
    fleet.run(10s, kNoDemand);
    constexpr int kPhases = 24;
    for (int phase = 0; phase < kPhases; ++phase) {
      const unsigned sides = upTo(1) == 0 ? 1 : kVms;
      const bool connected = upTo(1) == 0;
      const bool idle = upTo(3) == 0;
      const unsigned flooded = 1 + upTo(kVms - 1);
      std::vector<double> demand = kNoDemand;
      for (std::size_t vm = 0; vm < kVms; ++vm) {
        const bool partitioned = !connected && upTo(2) == 0;
        fleet.vms[vm].side = partitioned ? 1 + upTo(sides - 1) : kMainSide;
        if (!idle && upTo(kVms - 1) < flooded) {
          demand[vm] = 1.5 * kRate / flooded;
        }
      }
      if (upTo(3) == 0) {
        fleet.start(upTo(kVms - 1));
      }
      fleet.run(std::chrono::milliseconds(200 + 20 * upTo(200)), demand);
    }
    if (fleet.maxInWindow() > (kRate * 8 + kBurst) * 1.1) {
      FAIL(StringFromFormat(
             "seed %u: %.0f units in a window", seed, fleet.maxInWindow())
             .asCharString());
    }
  }
}
