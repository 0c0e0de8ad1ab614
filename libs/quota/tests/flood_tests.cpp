/** @file Tests of floods at all VMs of a large fleet, which learn of each
 * other's admissions after some tenths of a second. */
#include "quota/quota.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <deque>
#include <map>
#include <random>

using namespace marigold;
using namespace marigold::quota;
using namespace std::chrono_literals;
using base::TimePoint;

namespace {

constexpr double kRate = 210'000;
constexpr double kBurst = 210'000;
constexpr double kTolerance = 17'000;
constexpr double kSmallest = 200;
constexpr double kLargest = 4'000;
constexpr std::size_t kVms = 82;
constexpr std::size_t kDataCentres = 6;
constexpr base::Duration kStep = 10ms;
/** Periods of libs/peers for 13 peers in each of six data centres. */
constexpr base::Duration kStatusPeriod = 170ms;
constexpr base::Duration kSummaryPeriod = 400ms;
constexpr base::Duration kMinDelay = 20ms;
constexpr base::Duration kMaxDelay = 60ms;
constexpr base::Duration kWindow = 8s;
constexpr double kAllowed = (kRate * 8 + kBurst) * 1.1 + kTolerance;

struct Tally
{
  double offered = 0;
  double refused = 0;
};

/** VMs tell their data centre what they have admitted. The first VM there that
 * runs passes it on to the other data centres. */
class LargeFleet
{
public:
  explicit LargeFleet(std::uint32_t aSeed)
    : mRandom(aSeed)
    , mVms(kVms)
  {
    for (std::size_t vm = 0; vm < kVms; ++vm) {
      start(vm);
      mVms[vm].nextStatus = now + upTo(kStatusPeriod);
      mVms[vm].nextSummary = now + upTo(kSummaryPeriod);
    }
  }

  static std::string name(std::size_t aVm)
  {
    return "vm" + std::to_string(aVm);
  }

  /** Replaces the process of a VM. */
  void start(std::size_t aVm)
  {
    Vm& vm = mVms[aVm];
    vm.quota = {};
    ++vm.incarnation;
    vm.heard.clear();
    vm.quota.setReportPeriod(kSummaryPeriod);
    vm.quota.setWindow(kWindow);
    vm.quota.setSlack(kTolerance);
    vm.quota.setLimits({ { "t", { kRate, kBurst } } }, now);
    std::vector<std::string> peers;
    for (std::size_t other = 0; other < kVms; ++other) {
      if (other != aVm) {
        peers.push_back(name(other));
      }
    }
    vm.quota.setPeers(peers, now);
  }

  /** Cuts the VM off from all others, or ends that. */
  void cut(std::size_t aVm, bool aCut) { mVms[aVm].cut = aCut; }

  /** Requests reach random VMs.
   * @param aTime time to advance @param aTimesRate demand
   * @param aVms number of VMs, from the first, that they reach
   * @param aTogether number of requests that reach a VM at once */
  void run(base::Duration aTime,
           double aTimesRate,
           std::size_t aVms = kVms,
           int aTogether = 1)
  {
    std::uniform_real_distribution<double> cost(kSmallest, kLargest);
    std::uniform_int_distribution<std::size_t> vm(0, aVms - 1);
    const double mean = (kSmallest + kLargest) / 2 * aTogether;
    std::poisson_distribution<int> requests(aTimesRate * kRate *
                                            base::inSeconds(kStep) / mean);
    for (const auto end = now + aTime; now < end; now += kStep) {
      exchangeReports();
      for (int request = requests(mRandom); request > 0; --request) {
        const std::size_t receiver = vm(mRandom);
        for (int each = 0; each < aTogether; ++each) {
          submit(receiver, cost(mRandom));
        }
      }
    }
  }

  /** @return maximum number of units admitted in any window of 8 s */
  double maxInWindow() const
  {
    double max = 0;
    double sum = 0;
    std::size_t first = 0;
    for (const auto& [at, units] : mAdmitted) {
      sum += units;
      while (mAdmitted[first].first < at - kWindow) {
        sum -= mAdmitted[first++].second;
      }
      max = std::max(max, sum);
    }
    return max;
  }

  double totalAdmitted() const
  {
    double sum = 0;
    for (const auto& [at, units] : mAdmitted) {
      sum += units;
    }
    return sum;
  }

  Tally tally; ///< requests
  TimePoint now{ 1000s };

private:
  struct Heard
  {
    base::Incarnation incarnation = 0;
    Usage usage;
  };
  struct Vm
  {
    FleetQuota quota;
    base::Incarnation incarnation = 0;
    bool cut = false;
    TimePoint nextStatus{};
    TimePoint nextSummary{};
    std::map<std::size_t, Heard> heard; ///< statuses of its data centre
  };
  struct Message
  {
    std::size_t to = 0;
    bool summary = false;
    std::map<std::size_t, Heard> members;
  };

  base::Duration upTo(base::Duration aMost)
  {
    std::uniform_int_distribution<base::Duration::rep> any(0, aMost.count());
    return base::Duration(any(mRandom));
  }

  void submit(std::size_t aVm, double aCost)
  {
    ++tally.offered;
    if (mVms[aVm].quota.admit("t", aCost, now).admitted) {
      mAdmitted.emplace_back(now, aCost);
    } else {
      ++tally.refused;
    }
  }

  /** @return the first VM of the data centre that isn't cut off */
  bool isRelay(std::size_t aVm) const
  {
    std::size_t first = aVm % kDataCentres;
    while (first < aVm && mVms[first].cut) {
      first += kDataCentres;
    }
    return first == aVm;
  }

  void send(std::size_t aFrom, std::size_t aTo, Message aMessage)
  {
    if (aFrom == aTo || mVms[aFrom].cut || mVms[aTo].cut) {
      return;
    }
    aMessage.to = aTo;
    const base::Duration delay =
      aMessage.summary ? kMinDelay + upTo(kMaxDelay - kMinDelay) : kStep;
    mInFlight.emplace(now + delay, std::move(aMessage));
  }

  void sendStatus(std::size_t aVm)
  {
    Vm& vm = mVms[aVm];
    const Heard own{ vm.incarnation, vm.quota.reportUsage() };
    vm.heard[aVm] = own;
    for (std::size_t to = aVm % kDataCentres; to < kVms; to += kDataCentres) {
      send(aVm, to, { to, false, { { aVm, own } } });
    }
  }

  void sendSummary(std::size_t aVm)
  {
    Vm& vm = mVms[aVm];
    vm.heard[aVm] = { vm.incarnation, vm.quota.reportUsage() };
    for (std::size_t to = 0; to < kVms; ++to) {
      if (to % kDataCentres != aVm % kDataCentres) {
        send(aVm, to, { to, true, vm.heard });
      }
    }
    vm.heard.clear();
  }

  void receive(const Message& aMessage)
  {
    Vm& vm = mVms[aMessage.to];
    for (const auto& [from, member] : aMessage.members) {
      vm.quota.onPeerUsage(
        name(from), member.incarnation, member.usage, Totals::All, now);
      if (!aMessage.summary) {
        vm.heard[from] = member;
      }
    }
  }

  void exchangeReports()
  {
    while (!mInFlight.empty() && mInFlight.begin()->first <= now) {
      receive(mInFlight.begin()->second);
      mInFlight.erase(mInFlight.begin());
    }
    for (std::size_t vm = 0; vm < kVms; ++vm) {
      if (mVms[vm].nextStatus <= now) {
        mVms[vm].nextStatus += kStatusPeriod;
        sendStatus(vm);
      }
      if (mVms[vm].nextSummary <= now) {
        mVms[vm].nextSummary += kSummaryPeriod;
        if (isRelay(vm)) {
          sendSummary(vm);
        }
      }
    }
  }

  std::mt19937 mRandom;
  std::vector<Vm> mVms;
  std::multimap<TimePoint, Message> mInFlight;
  std::deque<std::pair<TimePoint, double>> mAdmitted;
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
    for (std::size_t vm = 0; vm < kVms; vm += 5) {
      fleet.cut(vm, true);
    }
    fleet.run(8s, 4);
    for (std::size_t vm = 0; vm < kVms; vm += 5) {
      fleet.cut(vm, false);
    }
    fleet.run(10s, 4);
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
