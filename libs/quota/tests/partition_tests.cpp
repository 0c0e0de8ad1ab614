/** @file Tests of quotas under network partitions in a fleet of the largest
 * supported size. */
#include "partitioned_fleet.h"

#include <CppUTest/TestHarness.h>

using namespace marigold;
using namespace marigold::quota;

TEST_GROUP(Partition){};

// An isolated VM must not be charged for refill that its full bucket never
// held; otherwise it refuses every team for more than a minute.
TEST(Partition, IsolatedVmWithAFullBucketKeepsExactlyItsShare)
{
  PartitionedFleet fleet(1);
  fleet.run(6s, kNoDemand);
  fleet.isolate(0);
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
    fleet.isolate(vm);
  }
  for (PartitionedFleet::Vm& vm : fleet.vms) {
    vm.refused = 0;
  }
  fleet.run(12s, withinShare);
  fleet.heal();
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
  fleet.isolate(0);
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
  FleetQuota& quota = fleet.vms[0].quota;
  quota.onPeerUsage("vm1", 1, { { "t", 1e9 } }, Totals::All, fleet.now);
  const double debt = -quota.level("t");
  CHECK(debt > 10 * kBurst);
  fleet.isolate(0);
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
  fleet.isolate(0);
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
  fleet.settings.window = 2s;
  for (std::size_t vm = 0; vm < kVms; ++vm) {
    fleet.start(vm);
  }
  fleet.cost = 4 * kBurst * kShare;
  fleet.run(6s, kNoDemand);
  fleet.isolate(0);
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
    fleet.isolate(vm);
  }
  fleet.run(12s, kNoDemand);
  fleet.cost = 8 * kBurst * kShare;
  const std::vector<double> oneRequest(kVms, fleet.cost / 0.2);
  fleet.run(200ms, oneRequest);
  LONGS_EQUAL(kVms, fleet.admitted.size());
  fleet.heal();
  fleet.cost = 2000;
  fleet.run(10s, std::vector<double>(kVms, 1.5 * kRate * kShare));
  CHECK(fleet.maxInWindow() <= (kRate * 8 + kBurst) * 1.1);
}

// A peer that becomes unreachable again before it has reported a team must not
// cause a permanent loss of units.
TEST(Partition, FlappingPeerLosesNoUnits)
{
  TimePoint now{ 100s };
  FleetQuota quota;
  quota.setReportPeriod(100ms);
  quota.setPeers({ "vm2" }, now);
  quota.setLimits({ { "t", { 100, 1000 } } }, now);
  const auto run = [&](base::Duration aTime, const Usage* aReport) {
    for (const auto end = now + aTime; now < end; now += 100ms) {
      if (aReport != nullptr) {
        quota.onPeerUsage("vm2", 1, *aReport, Totals::Changed, now);
      }
      quota.admit("t", 0, now);
    }
  };
  const Usage fullReport{ { "t", 7 } };
  const Usage emptyReport;
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
  FleetQuota quota;
  quota.setReportPeriod(100ms);
  quota.setPeers({ "vm2" }, now);
  quota.setLimits({ { "t", { 1000, 1000 } } }, now);
  for (const auto end = now + 10s; now < end; now += 100ms) {
    quota.onPeerUsage("vm2", 1, { { "t", 0 } }, Totals::All, now);
    quota.admit("t", 0, now);
  }
  for (const auto end = now + 10s; now < end; now += 100ms) {
    quota.admit("t", 0, now);
  }
  DOUBLES_EQUAL(500, quota.level("t"), 1);
  quota.onPeerUsage("vm2", 1, { { "t", 500 } }, Totals::All, now);
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
