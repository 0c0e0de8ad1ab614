#include "quota_world.h"

#include <algorithm>
#include <cstdlib>
#include <rapidcheck.h>

namespace marigold::quota::test {
namespace {

using namespace std::chrono_literals;

constexpr double kRate = 1000;
constexpr base::Duration kTick = 20ms;
constexpr base::Duration kReportPeriod = 100ms;
constexpr base::Duration kLongestDelay = 50ms; ///< of a link between regions
constexpr base::Duration kLongestLateness = 3s;
constexpr double kClocks[] = { 0.99, 1, 1.01 };
constexpr double kLimitFactors[] = { 0.5, 1, 2 }; ///< of a change
constexpr base::TimePoint kStart{ 1000s };
constexpr base::Duration kWindow = 8s;
/** Part above the limit that the users allow in a window. */
constexpr double kOvershoot = 0.1;
constexpr double kFlood = 20;    ///< demand at each VM, as a factor of the rate
constexpr double kTrickle = 0.5; ///< of the fleet, likewise
constexpr int kLongestTenths = 100;
constexpr int kMostVms = 4;

std::string
name(std::size_t aVm)
{
  return "vm" + std::to_string(aVm);
}

rc::Gen<Step>
anyStep()
{
  return rc::gen::apply(
    [](int aOp, unsigned aTarget, int aTenths) {
      return Step{ static_cast<Op>(aOp), aTarget, aTenths };
    },
    rc::gen::inRange(0, static_cast<int>(Op::Count)),
    rc::gen::inRange<unsigned>(0, 1U << kMostVms),
    rc::gen::inRange(0, kLongestTenths));
}

const char*
nameOf(Op aOp)
{
  constexpr const char* kNames[] = { "Flood",  "Trickle", "Idle",    "Cut",
                                     "Split",  "Heal",    "Restart", "Pause",
                                     "Resume", "Refund",  "Replace", "Stop",
                                     "Limits" };
  return kNames[static_cast<std::size_t>(aOp)];
}

} // namespace

World::World(const WorldOptions& aOptions)
  : mOptions(aOptions)
  , mRandom(aOptions.seed)
  , mVms(aOptions.vms)
  , mAsked(aOptions.vms, 0)
  , mLimits{ { kStart, { kRate, aOptions.burst * kRate } } }
{
  for (std::size_t vm = 0; vm < mVms.size(); ++vm) {
    mVms[vm].name = name(vm);
    mVms[vm].clock = vm < mOptions.clocks.size() ? mOptions.clocks[vm] : 1;
  }
  for (std::size_t vm = 0; vm < mVms.size(); ++vm) {
    start(vm);
  }
}

base::TimePoint
World::clockOf(const Vm& aVm) const
{
  return kStart + base::fromSeconds(base::inSeconds(mNow - kStart) * aVm.clock);
}

void
World::start(std::size_t aVm)
{
  Vm& vm = mVms[aVm];
  vm.quota = {};
  ++vm.incarnation;
  vm.paused = false;
  vm.held.clear();
  vm.sequence = 0;
  vm.heard.clear();
  vm.quota.setReportPeriod(kReportPeriod);
  vm.quota.setWindow(kWindow);
  vm.quota.setSlack(mOptions.tolerance * kRate);
  vm.quota.setOvershoot(kOvershoot);
  configure(vm);
}

void
World::configure(Vm& aVm)
{
  aVm.quota.setLimits({ { "t", mLimits.back().limit } }, clockOf(aVm));
  std::vector<base::VmName> peers;
  for (const Vm& other : mVms) {
    if (&other != &aVm) {
      peers.push_back(other.name);
    }
  }
  aVm.quota.setPeers(peers, clockOf(aVm));
}

/** A paused VM gets the configuration when it goes on. */
void
World::configureAll()
{
  for (Vm& vm : mVms) {
    if (!vm.paused) {
      configure(vm);
    }
  }
}

void
World::replace(std::size_t aVm)
{
  mVms[aVm].name = "new" + std::to_string(++mReplacements);
  start(aVm);
  configureAll();
}

void
World::stop(std::size_t aVm)
{
  const Vm& leaving = mVms[aVm];
  if (leaving.paused) {
    return;
  }
  for (Vm& vm : mVms) {
    if (&vm != &leaving && !vm.paused && vm.side == leaving.side) {
      vm.quota.onPeerDraining(leaving.name, leaving.incarnation, clockOf(vm));
    }
  }
  start(aVm);
}

void
World::changeLimits(const Step& aStep)
{
  const double rate = kRate * kLimitFactors[aStep.target % 3];
  const double burst =
    mOptions.burst * kRate * kLimitFactors[aStep.target / 3 % 3];
  mLimits.push_back({ mNow, { rate, burst } });
  configureAll();
}

void
World::run(const std::vector<Step>& aSteps)
{
  for (const Step& step : aSteps) {
    apply(step);
  }
}

void
World::apply(const Step& aStep)
{
  const std::size_t target = aStep.target % mVms.size();
  double demand = 0;
  switch (aStep.op) {
    case Op::Flood:
      demand = kFlood * kRate;
      break;
    case Op::Trickle:
      demand = kTrickle * kRate / static_cast<double>(mVms.size());
      break;
    case Op::Cut:
      mVms[target].side = static_cast<unsigned>(target) + 2;
      break;
    case Op::Split:
      for (std::size_t vm = 0; vm < mVms.size(); ++vm) {
        mVms[vm].side = (aStep.target >> vm) & 1U;
      }
      break;
    case Op::Heal:
      std::for_each(mVms.begin(), mVms.end(), [](Vm& aVm) { aVm.side = 0; });
      break;
    case Op::Restart:
      start(target);
      break;
    case Op::Pause:
      mVms[target].paused = true;
      break;
    case Op::Resume:
      std::for_each(mVms.begin(), mVms.end(), [this](Vm& aVm) { resume(aVm); });
      break;
    case Op::Refund:
      refund(target);
      break;
    case Op::Replace:
      replace(target);
      break;
    case Op::Stop:
      stop(target);
      break;
    case Op::Limits:
      changeLimits(aStep);
      break;
    default:
      break;
  }
  const bool asksSome = aStep.op == Op::Flood;
  advance(aStep.tenths * 100ms, asksSome ? aStep.target : ~0U, demand);
}

void
World::resume(Vm& aVm)
{
  if (!std::exchange(aVm.paused, false)) {
    return;
  }
  configure(aVm);
  for (const Report& report : std::exchange(aVm.held, {})) {
    receive(aVm, report);
  }
}

void
World::refund(std::size_t aVm)
{
  const auto last =
    std::find_if(mRuns.rbegin(), mRuns.rend(), [aVm](const Run& aRun) {
      return aRun.vm == aVm;
    });
  if (last == mRuns.rend() || mNow - last->at > 1s || mVms[aVm].paused) {
    return;
  }
  mVms[aVm].quota.refund("t", last->units);
  mRuns.erase(std::next(last).base());
}

void
World::advance(base::Duration aTime, unsigned aAsked, double aDemand)
{
  for (const base::TimePoint end = mNow + aTime; mNow < end;) {
    mNow += kTick;
    deliver();
    for (std::size_t vm = 0; vm < mVms.size(); ++vm) {
      const bool asked = ((aAsked >> vm) & 1U) != 0;
      if (!mVms[vm].paused) {
        ask(vm, asked ? aDemand * base::inSeconds(kTick) : 0);
      }
    }
    if ((mNow - base::TimePoint{}) % kReportPeriod == base::Duration::zero()) {
      report();
    }
  }
}

void
World::ask(std::size_t aVm, double aUnits)
{
  FleetQuota& quota = mVms[aVm].quota;
  const double cost = mOptions.cost * kRate;
  mAsked[aVm] += aUnits;
  for (; mAsked[aVm] >= cost; mAsked[aVm] -= cost) {
    if (!quota.admit("t", cost, clockOf(mVms[aVm])).admitted) {
      mAsked[aVm] = 0; // further ones would be refused too
      return;
    }
    mRuns.push_back({ mNow, cost, aVm });
  }
  quota.admit("t", 0, clockOf(mVms[aVm]));
}

void
World::report()
{
  for (std::size_t from = 0; from < mVms.size(); ++from) {
    Vm& sender = mVms[from];
    if (sender.paused) {
      continue;
    }
    ++sender.sequence;
    const Usage usage =
      mOptions.withUsage ? sender.quota.reportUsage() : Usage{ { "t", 0 } };
    for (std::size_t to = 0; to < mVms.size(); ++to) {
      if (to != from && mVms[to].side == sender.side) {
        sendReport({ sender.name,
                     to,
                     mVms[to].name,
                     sender.incarnation,
                     sender.sequence,
                     usage });
      }
    }
  }
}

void
World::sendReport(const Report& aReport)
{
  const auto happens = [this](int aPercent) {
    return std::uniform_int_distribution<int>(0, 99)(mRandom) < aPercent;
  };
  const auto delay = [this](base::Duration aLongest) {
    return base::Duration(std::uniform_int_distribution<base::Duration::rep>(
      0, aLongest.count())(mRandom));
  };
  if (happens(mOptions.lostPercent)) {
    return;
  }
  const int copies = happens(mOptions.doublePercent) ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    const bool late = happens(mOptions.latePercent);
    mInFlight.emplace(mNow + delay(late ? kLongestLateness : kLongestDelay),
                      aReport);
  }
}

void
World::deliver()
{
  while (!mInFlight.empty() && mInFlight.begin()->first <= mNow) {
    const Report report = mInFlight.begin()->second;
    mInFlight.erase(mInFlight.begin());
    Vm& receiver = mVms[report.to];
    if (receiver.name != report.receiver) {
      continue; // It has been replaced.
    }
    if (receiver.paused) {
      receiver.held.push_back(report);
    } else {
      receive(receiver, report);
    }
  }
}

void
World::receive(Vm& aVm, const Report& aReport)
{
  const std::pair version(aReport.incarnation, aReport.sequence);
  auto& latest = aVm.heard[aReport.from];
  if (version <= latest) {
    return; // As peers::PeerTable does.
  }
  latest = version;
  aVm.quota.onPeerUsage(aReport.from,
                        aReport.incarnation,
                        aReport.usage,
                        Totals::All,
                        clockOf(aVm));
}

/** A lower limit binds a window that began after the change. */
double
World::allowed(base::TimePoint aUntil) const
{
  Limit largest;
  for (std::size_t index = 0; index < mLimits.size(); ++index) {
    const bool ended = index + 1 < mLimits.size() &&
                       mLimits[index + 1].from < aUntil - 2 * kWindow;
    if (mLimits[index].from <= aUntil && !ended) {
      largest.rate = std::max(largest.rate, mLimits[index].limit.rate);
      largest.burst = std::max(largest.burst, mLimits[index].limit.burst);
    }
  }
  return (largest.rate * base::inSeconds(kWindow) + largest.burst) *
           (1 + kOvershoot) +
         mOptions.tolerance * kRate;
}

std::string
World::violation() const
{
  double sum = 0;
  double mostAbove = 0;
  std::string worst;
  std::size_t first = 0;
  for (const Run& run : mRuns) {
    sum += run.units;
    while (mRuns[first].at < run.at - kWindow) {
      sum -= mRuns[first++].units;
    }
    const double limit = allowed(run.at);
    if (sum - limit > mostAbove) {
      mostAbove = sum - limit;
      worst =
        std::to_string(sum) + " units in 8 s, allowed " + std::to_string(limit);
    }
  }
  return worst;
}

bool
checkRandomFaults(std::uint64_t aSeed, int aRuns, bool aWithUsage)
{
  const std::string parameters = "seed=" + std::to_string(aSeed) +
                                 " max_success=" + std::to_string(aRuns) +
                                 " max_size=60";
  setenv("RC_PARAMS", parameters.c_str(), 1);
  return rc::check("no fault lets a team exceed its limit", [aWithUsage] {
    WorldOptions options;
    options.withUsage = aWithUsage;
    options.seed = *rc::gen::arbitrary<std::uint16_t>().as("world seed");
    options.vms = *rc::gen::inRange<std::size_t>(2, kMostVms + 1).as("VMs");
    options.burst = *rc::gen::inRange(1, 21).as("tenths of burst") / 10.0;
    options.tolerance =
      *rc::gen::inRange(0, 5).as("tenths of tolerance") / 10.0;
    options.cost = *rc::gen::inRange(1, 10).as("hundredths of cost") / 100.0;
    options.lostPercent = *rc::gen::inRange(0, 11).as("% of reports lost");
    options.doublePercent = *rc::gen::inRange(0, 11).as("% doubled");
    options.latePercent = *rc::gen::inRange(0, 11).as("% late");
    options.clocks = *rc::gen::container<std::vector<double>>(
                        kMostVms,
                        rc::gen::elementOf(std::vector<double>(
                          std::begin(kClocks), std::end(kClocks))))
                        .as("clocks");
    const auto steps =
      *rc::gen::container<std::vector<Step>>(anyStep()).as("steps");
    World world(options);
    world.run(steps);
    const std::string violation = world.violation();
    if (!violation.empty()) {
      std::string played;
      for (const Step& step : steps) {
        played += std::string(" ") + nameOf(step.op) + "(" +
                  std::to_string(step.target) + ", " +
                  std::to_string(step.tenths) + ")";
      }
      RC_FAIL(violation + " after" + played);
    }
  });
}

} // namespace marigold::quota::test
