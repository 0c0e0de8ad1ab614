/** @file Tests of the parts that VMs take of what a window has left. */
#include "quota/quota.h"

#include <CppUTest/TestHarness.h>

using namespace marigold;
using namespace marigold::quota;
using namespace std::chrono_literals;

namespace {

constexpr double kRate = 1000;
constexpr double kCost = 50;

/** One of four VMs, and what the other three report to it. */
class BusyVm
{
public:
  BusyVm()
  {
    mQuota.setReportPeriod(100ms);
    mQuota.setWindow(8s);
    mQuota.setOvershoot(0.1);
    mQuota.setPeers({ "vm1", "vm2", "vm3" }, now);
    setLimit({ kRate, kRate });
  }

  void setLimit(Limit aLimit) { mQuota.setLimits({ { "t", aLimit } }, now); }

  /** @param aPeerRate units a second that each peer consumes
   * @param aOwnRate units a second that are asked for here */
  void run(base::Duration aTime, double aPeerRate, double aOwnRate = 0)
  {
    for (const auto end = now + aTime; now < end; now += kStep) {
      mPeerTotal += aPeerRate * base::inSeconds(kStep);
      for (const char* peer : { "vm1", "vm2", "vm3" }) {
        mQuota.onPeerUsage(peer, 1, { { "t", mPeerTotal } }, Totals::All, now);
      }
      for (mAsked += aOwnRate * base::inSeconds(kStep); mAsked >= kCost;
           mAsked -= kCost) {
        (ask() ? admitted : refused) += kCost;
      }
    }
  }

  bool ask() { return mQuota.admit("t", kCost, now).admitted; }

  FleetQuota& quota() { return mQuota; }

  base::TimePoint now{ 100s };
  double admitted = 0; ///< units
  double refused = 0;  ///< units

private:
  static constexpr base::Duration kStep = 100ms;

  FleetQuota mQuota;
  double mPeerTotal = 0;
  double mAsked = 0;
};

} // namespace

TEST_GROUP(Bound){};

// What was consumed under a higher limit must not block the lower one for a
// window.
TEST(Bound, LoweredLimitIsUsableAtOnce)
{
  BusyVm vm;
  vm.run(10s, 300, 100);
  vm.setLimit({ kRate / 5, kRate / 5 });
  vm.refused = 0;
  vm.run(6s, 30, 60);
  DOUBLES_EQUAL(0, vm.refused, 0);
}

// Guards against a VM whose callers are refused because peers use most of the
// limit, though the team keeps to it.
TEST(Bound, TeamAtItsRateIsNotDivided)
{
  BusyVm vm;
  vm.run(6s, 0);
  vm.run(30s, 300, 95);
  DOUBLES_EQUAL(0, vm.refused, 0);
}

// A take-up is the rest of a stream that was charged for before.
TEST(Bound, TakeUpIsNotHeldToThePart)
{
  BusyVm vm;
  vm.run(6s, 0);
  vm.run(400ms, 6500);
  vm.run(7s, 0);
  int taken = 0;
  while (vm.ask()) {
    ++taken;
  }
  CHECK(taken > 0 && taken <= 3);
  CHECK(
    vm.quota().admit("t", kCost, vm.now, Ask::First, Claim::TakeUp).admitted);
}
