/** @file Tests of floods at all VMs of a large fleet, which learn of each
 * other's admissions after some tenths of a second. */
#include "relayed_fleet.h"

#include <CppUTest/TestHarness.h>

using namespace marigold;
using namespace marigold::quota;
using namespace std::chrono_literals;

namespace {

constexpr double kRate = 210'000;
constexpr double kBurst = 210'000;
constexpr double kTolerance = 17'000;
constexpr double kSmallest = 200;
constexpr double kLargest = 4'000;
constexpr std::size_t kVms = 82;
/** Periods of libs/peers for 13 peers in each of six data centres. */
constexpr test::RelayedFleetShape kShape{ 6, 170ms, 400ms };
constexpr double kAllowed = (kRate * 8 + kBurst) * 1.1 + kTolerance;

/** The grown fleets, with one team. */
class LargeFleet : public test::RelayedFleet
{
public:
  explicit LargeFleet(std::uint32_t aSeed)
    : RelayedFleet(
        { kVms, { { test::kTeam, { kRate, kBurst } } }, kTolerance, 400ms },
        kShape,
        kSmallest,
        kLargest,
        aSeed)
  {
  }

  /** Requests reach random VMs.
   * @param aTime time to advance @param aTimesRate demand
   * @param aVms number of VMs, from the first, that they reach
   * @param aTogether number of requests that reach a VM at once */
  void run(base::Duration aTime,
           double aTimesRate,
           std::size_t aVms = kVms,
           int aTogether = 1)
  {
    RelayedFleet::run(aTime, { aTimesRate, aVms, aTogether });
  }
};

void
checkWithinQuota(const LargeFleet& aFleet, std::uint32_t aSeed)
{
  if (aFleet.maxInWindow() > kAllowed) {
    FAIL(StringFromFormat("seed %u: %.0f units in 8 s of %.0f",
                          aSeed,
                          aFleet.maxInWindow(),
                          kAllowed)
           .asCharString());
  }
}

constexpr std::uint32_t kSeeds = 2;

} // namespace

TEST_GROUP(Flood){};

// A team that floods all VMs. Guards against VMs that all admit whenever the
// bucket is above zero, until they hear of each other.
TEST(Flood, FloodAtAllVmsStaysWithinRateAndBurst)
{
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    LargeFleet fleet(seed);
    fleet.run(4s, 0);
    fleet.run(8s, 0.6);
    fleet.run(15s, 6);
    checkWithinQuota(fleet, seed);
  }
}

// The same while VMs are cut off and come back. Guards against VMs that take
// what their peers have taken while they do not hear of it.
TEST(Flood, FloodBesideCutVmsStaysWithinRateAndBurst)
{
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    LargeFleet fleet(seed);
    fleet.run(5s, 0);
    fleet.run(5s, 4);
    fleet.isolateEach(5);
    fleet.run(8s, 4);
    fleet.heal();
    fleet.run(10s, 4);
    checkWithinQuota(fleet, seed);
  }
}

// VMs are cut off just as a flood begins. Guards against VMs that set nothing
// aside yet for peers that have just fallen silent and take their parts at
// once.
TEST(Flood, FloodThatBeginsBeforeACutStaysWithinRateAndBurst)
{
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    LargeFleet fleet(seed);
    fleet.run(5s, 0.3);
    fleet.run(300ms, 8);
    fleet.isolateEach(3);
    fleet.run(6s, 8);
    fleet.heal();
    fleet.run(5s, 8);
    checkWithinQuota(fleet, seed);
  }
}

// The same while processes are killed. Guards against new processes that take
// what has been admitted for unused.
TEST(Flood, FloodBesideKillsStaysWithinRateAndBurst)
{
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    LargeFleet fleet(seed);
    fleet.run(4s, 0);
    for (std::size_t kill = 0; kill < 6; ++kill) {
      fleet.run(2s, 4);
      for (std::size_t vm = kill; vm < kVms; vm += 10) {
        fleet.start(vm);
      }
    }
    fleet.run(3s, 4);
    checkWithinQuota(fleet, seed);
  }
}

// A team over its limit. Guards against parts of the rate that no VM uses.
TEST(Flood, FloodGetsTheRate)
{
  LargeFleet fleet(1);
  fleet.run(4s, 0);
  fleet.run(20s, 4);
  CHECK(fleet.totalAdmitted() >= 0.97 * (kRate * 20 + kBurst));
}

// A team below its limit at all VMs. Guards against parts that are too small
// for what one VM's callers send by chance.
TEST(Flood, EvenTrafficIsNotRefused)
{
  LargeFleet fleet(1);
  fleet.run(4s, 0);
  fleet.run(30s, 0.9);
  CHECK(fleet.tally.refused <= 0.001 * fleet.tally.offered);
}

// A team below its limit whose callers send three requests at once. Guards
// against parts of one VM that are too small for them.
TEST(Flood, RequestsThatComeTogetherAreNotRefused)
{
  for (std::uint32_t seed = 11; seed <= 12; ++seed) {
    LargeFleet fleet(seed);
    fleet.run(4s, 0);
    fleet.run(25s, 0.9, kVms, 3);
    CHECK(fleet.tally.refused <= 0.001 * fleet.tally.offered);
  }
}

// The callers of a team move to one VM. Guards against a share that stays with
// the VMs that they have left.
TEST(Flood, TrafficThatMovesToOneVmIsNotRefused)
{
  LargeFleet fleet(1);
  fleet.run(4s, 0);
  fleet.run(8s, 0.8);
  fleet.run(1s, 0.8, 1);
  fleet.tally = {};
  fleet.run(12s, 0.8, 1);
  CHECK(fleet.tally.refused <= 0.01 * fleet.tally.offered);
}
