/** @file Tests of callers that take up streams while their team is over its
 * limit. */
#include "quota/quota.h"

#include <CppUTest/TestHarness.h>
#include <deque>

using namespace marigold;
using namespace marigold::quota;
using namespace std::chrono_literals;
using base::TimePoint;

namespace {

constexpr double kRate = 10'000;
constexpr double kBurst = 10'000;
constexpr double kSlack = 1'000;
constexpr double kCost = 20;
constexpr std::size_t kVms = 6;
constexpr base::Duration kStep = 10ms;

/** VMs that report to each other every 100 ms, at which the new requests of one
 * team arrive at twelve times its rate. */
class BusyFleet
{
public:
  BusyFleet()
    : mQuotas(kVms)
    , takeUps(kVms, 0)
  {
    for (std::size_t vm = 0; vm < kVms; ++vm) {
      std::vector<std::string> peers;
      for (std::size_t other = 0; other < kVms; ++other) {
        if (other != vm) {
          peers.push_back(name(other));
        }
      }
      mQuotas[vm].setSlack(kSlack);
      mQuotas[vm].setPeers(peers, mNow);
      mQuotas[vm].setLimits({ { "t", { kRate, kBurst } } }, mNow);
    }
  }

  /** @param aTime time to advance @param aNewRequests of each VM and step */
  void run(base::Duration aTime, int aNewRequests)
  {
    for (const TimePoint end = mNow + aTime; mNow < end; mNow += kStep) {
      if (mSteps++ % 10 == 0) {
        report();
      }
      for (std::size_t vm = 0; vm < kVms; ++vm) {
        for (int request = 0; request < aNewRequests; ++request) {
          ask(vm, Claim::New);
        }
        while (takeUps[vm] > 0 && ask(vm, Claim::TakeUp)) {
          --takeUps[vm];
        }
      }
    }
  }

  /** @return most units in any window of 8 s */
  double maxInWindow() const
  {
    double most = 0;
    double sum = 0;
    std::size_t first = 0;
    for (const auto& [at, cost] : mAdmitted) {
      sum += cost;
      while (at - mAdmitted[first].first > 8s) {
        sum -= mAdmitted[first++].second;
      }
      most = std::max(most, sum);
    }
    return most;
  }

private:
  static std::string name(std::size_t aVm)
  {
    return "vm" + std::to_string(aVm);
  }

  bool ask(std::size_t aVm, Claim aClaim)
  {
    const bool admitted =
      mQuotas[aVm].admit("t", kCost, mNow, Ask::First, aClaim).admitted;
    if (admitted) {
      mAdmitted.emplace_back(mNow, kCost);
    }
    return admitted;
  }

  void report()
  {
    for (std::size_t from = 0; from < kVms; ++from) {
      const Usage usage = mQuotas[from].reportUsage();
      for (std::size_t to = 0; to < kVms; ++to) {
        if (from != to) {
          mQuotas[to].onPeerUsage(name(from), 1, usage, Totals::All, mNow);
        }
      }
    }
  }

  std::vector<FleetQuota> mQuotas;
  TimePoint mNow{ 1000s };
  unsigned mSteps = 0;
  std::deque<std::pair<TimePoint, double>> mAdmitted;

public:
  std::vector<int> takeUps; ///< waiting, by VM
};

constexpr double kAllowedIn8s = (kRate * 8 + kBurst) * 1.1 + kSlack;

} // namespace

TEST_GROUP(TakeUps){};

// All VMs were killed: callers come back at once, with new requests beyond the
// limit of their team and with streams to go on. Guards against streams that
// are lost because new requests take each unit first.
TEST(TakeUps, StreamsGoOnBesideNewRequestsBeyondTheLimit)
{
  BusyFleet fleet;
  fleet.run(3s, 10);
  fleet.takeUps.assign(kVms, 5);
  fleet.run(300ms, 10);
  for (const int waiting : fleet.takeUps) {
    LONGS_EQUAL(0, waiting);
  }
  fleet.run(9s, 10);
  CHECK(fleet.maxInWindow() <= kAllowedIn8s);
}

// Callers take up streams without end. Guards against a team that exceeds its
// limit by saying so of each request.
TEST(TakeUps, EndlessTakeUpsStayWithinTheLimit)
{
  BusyFleet fleet;
  fleet.run(3s, 0);
  fleet.takeUps.assign(kVms, 1'000'000);
  fleet.run(20s, 10);
  CHECK(fleet.maxInWindow() <= kAllowedIn8s);
}
