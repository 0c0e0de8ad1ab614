/** @file Tests of the settlement after a partition: what each side consumed is
 * charged against all reserves of that side, not VM by VM. */
#include "partitioned_fleet.h"

#include <CppUTest/TestHarness.h>

using namespace marigold;
using namespace marigold::quota;

namespace {

constexpr std::size_t kMinority = 27;

/** Partitions the first VMs from all others. They hear each other. */
void
cutMinority(PartitionedFleet& aFleet)
{
  for (std::size_t vm = 0; vm < kMinority; ++vm) {
    aFleet.vms[vm].side = 1;
  }
}

double
minorityLevel(const PartitionedFleet& aFleet)
{
  double level = kBurst;
  for (std::size_t vm = 0; vm < kMinority; ++vm) {
    level = std::min(level, aFleet.vms[vm].quota.level("t"));
  }
  return level;
}

} // namespace

TEST_GROUP(Settlement){};

// The callers of a team reach few VMs of the majority. Its VMs share one bucket
// during the partition, so the busy VM owes nothing beyond what the idle ones
// left.
TEST(Settlement, UnevenTrafficOfOneSideIsNoDebt)
{
  PartitionedFleet fleet(7);
  fleet.maxDelay = 100ms;
  std::vector<double> oneVm = kNoDemand;
  oneVm[kVms - 1] = 0.6 * kRate;
  fleet.run(6s, oneVm);
  cutMinority(fleet);
  fleet.vms[kVms - 1].refused = 0; // The buckets start empty.
  fleet.run(12s, oneVm);
  CHECK(fleet.vms[kVms - 1].refused == 0);
  fleet.heal();
  for (int step = 0; step < 50; ++step) {
    fleet.run(100ms, oneVm);
    CHECK(minorityLevel(fleet) > 0);
  }
  CHECK(minorityLevel(fleet) > 0.5 * kBurst);
}

// A flood on one VM of the majority uses up the majority's shares only; the
// minority keeps its own.
TEST(Settlement, FloodOfOneSideIsNoDebtOfTheOther)
{
  PartitionedFleet fleet(8);
  fleet.maxDelay = 100ms;
  std::vector<double> flood = kNoDemand;
  flood[kVms - 1] = 6 * kRate;
  fleet.run(6s, flood);
  cutMinority(fleet);
  fleet.run(12s, flood);
  fleet.heal();
  double lowest = kBurst;
  for (int step = 0; step < 50; ++step) {
    fleet.run(100ms, flood);
    lowest = std::min(lowest, minorityLevel(fleet));
  }
  // One report lag of the flood, admitted while no VM knew of it.
  CHECK(lowest > -kRate);
  CHECK(fleet.maxInWindow() <= (kRate * 8 + kBurst) * 1.1);
}

// What the majority consumed beyond its shares is still charged after the
// partition.
TEST(Settlement, ConsumptionBeyondAllReservesIsADebt)
{
  TimePoint now{ 100s };
  FleetQuota quota;
  quota.setReportPeriod(100ms);
  quota.setPeers({ "vm2", "vm3" }, now);
  quota.setLimits({ { "t", { 900, 900 } } }, now);
  const auto run = [&](base::Duration aTime, bool aReports) {
    for (const auto end = now + aTime; now < end; now += 100ms) {
      for (const char* peer : { "vm2", "vm3" }) {
        if (aReports) {
          quota.onPeerUsage(peer, 1, { { "t", 0 } }, Totals::All, now);
        }
      }
      quota.admit("t", 0, now);
    }
  };
  run(10s, true);
  run(10s, false);
  DOUBLES_EQUAL(300, quota.level("t"), 1);
  // Each reserve holds 300 units and earned 300 a second for 10 s.
  quota.onPeerUsage("vm2", 1, { { "t", 10000 } }, Totals::All, now);
  quota.onPeerUsage("vm3", 1, { { "t", 0 } }, Totals::All, now);
  CHECK(quota.level("t") < -2000);
  CHECK(quota.level("t") > -3500);
}
