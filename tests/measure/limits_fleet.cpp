#include "tests/measure/limits_fleet.h"

#include "apps/entry/loan_codec.h"
#include "mesh/mesh.h"

#include <algorithm>

namespace marigold::measure {
namespace {

/** Start of virtual time; a monotonic clock does not start at zero. */
constexpr double kOrigin = 1000;

constexpr double kLinkInside = 0.0003;

/** Writes that the platform takes in a second ("several hundred"). */
constexpr double kPlatformWrites = 400;

std::string
vmName(int aVm)
{
  return "entry-data-centre-a-" + std::to_string(aVm);
}

std::string
teamName(int aTeam)
{
  return "team-" + std::to_string(aTeam);
}

std::size_t
sizeOnTheMesh(const std::string& aFrom, const limits::Outgoing& aOutgoing)
{
  constexpr base::Incarnation kIncarnation = 1'790'000'000'000;
  return mesh::seal({ aFrom,
                      kIncarnation,
                      aOutgoing.to,
                      kIncarnation,
                      1'000'000,
                      entry::loanType(aOutgoing.message),
                      entry::encodeLoan(aOutgoing.message) },
                    "0123456789abcdef")
    .size();
}

} // namespace

struct LimitsFleet::Open
{
  Arrival arrival;
  bool counted = false;
  bool exact = false;
};

struct LimitsFleet::Vm
{
  int index = 0;
  std::uint64_t run = 0; ///< changes when the VM is lost
  bool alive = true;
  std::unique_ptr<limits::Holder> holder;
  std::vector<limits::Bucket> fixed; ///< by team, for static shares
  std::map<limits::Ticket, Open> waiting;
};

LimitsFleet::LimitsFleet(FleetSize aSize,
                         Policy aPolicy,
                         double aRate,
                         double aBurst)
  : mSize(std::move(aSize))
  , mPolicy(aPolicy)
  , mRate(aRate)
  , mBurst(aBurst)
  , mExact(mSize.teams)
  , mOracles(mSize.teams)
  , mTallies(mSize.teams)
{
  for (limits::Bucket& bucket : mExact) {
    bucket.fill(now());
    bucket.resize(mRate, mBurst);
    bucket.add(mBurst);
  }
  mCentral = mExact;
  mPlatform.fill(now());
  mPlatform.resize(kPlatformWrites, kPlatformWrites);
  mPlatform.add(kPlatformWrites);
  mVmTallies.resize(vms());
  mMessagesOf.resize(vms());
  for (int index = 0; index < vms(); ++index) {
    mVms.push_back(std::make_unique<Vm>());
    Vm& vm = *mVms.back();
    vm.index = index;
    vm.fixed = mExact;
    for (limits::Bucket& bucket : vm.fixed) {
      bucket.resize(mRate / vms(), mBurst / vms());
    }
    start(vm);
    vm.holder->setSlot(limits::SlotTerm{ now(), now() + limits::kSlotValidity },
                       now());
    if (mPolicy == Policy::Loans) {
      // The VMs do not tick at the same moment.
      const double phase = base::inSeconds(limits::kTickPeriod) * index / vms();
      at(phase, [this, index] { tick(index); });
    }
  }
}

LimitsFleet::~LimitsFleet() = default;

base::TimePoint
LimitsFleet::now() const
{
  return base::TimePoint(base::fromSeconds(kOrigin + mNow));
}

void
LimitsFleet::at(double aTime, std::function<void()> aRun)
{
  mEvents.emplace(aTime, std::move(aRun));
}

void
LimitsFleet::start(Vm& aVm)
{
  ++aVm.run;
  aVm.alive = true;
  aVm.waiting.clear();
  const std::string name = vmName(aVm.index);
  aVm.holder = std::make_unique<limits::Holder>(name, aVm.run);
  limits::FleetLimits fleet{ vms(), {} };
  for (int team = 0; team < mSize.teams; ++team) {
    fleet.teams.push_back({ teamName(team), mRate, mBurst });
  }
  aVm.holder->setLimits(fleet, now());
  std::vector<base::VmName> near;
  std::vector<base::VmName> far;
  for (int other = 0; other < vms(); ++other) {
    const bool same = dataCentreOf(other) == dataCentreOf(aVm.index);
    if (other != aVm.index) {
      (same ? near : far).push_back(vmName(other));
    }
  }
  near.insert(near.end(), far.begin(), far.end());
  aVm.holder->setPeers(near);
}

void
LimitsFleet::run(double aUntil)
{
  while (!mEvents.empty() && mEvents.begin()->first <= aUntil) {
    auto first = mEvents.extract(mEvents.begin());
    mNow = first.key();
    first.mapped()();
  }
  mNow = aUntil;
}

void
LimitsFleet::tick(int aVm)
{
  Vm& vm = *mVms[aVm];
  if (vm.alive) {
    perform(aVm, vm.holder->tick(now()));
  }
  at(mNow + base::inSeconds(limits::kTickPeriod), [this, aVm] { tick(aVm); });
}

void
LimitsFleet::lose(int aVm)
{
  Vm& vm = *mVms[aVm];
  vm.alive = false;
  ++vm.run;
  vm.waiting.clear();
}

void
LimitsFleet::replace(int aVm, double aSlotAfter)
{
  Vm& vm = *mVms[aVm];
  start(vm);
  if (aSlotAfter >= 0) {
    at(mNow + aSlotAfter, [this, &vm] {
      vm.holder->setSlot(limits::SlotTerm{ now() + limits::kSettleTime,
                                           now() + limits::kSlotValidity },
                         now());
    });
  }
}

void
LimitsFleet::transmit(int aFrom, const limits::Outgoing& aOutgoing)
{
  const int target =
    std::stoi(aOutgoing.to.substr(aOutgoing.to.rfind('-') + 1));
  ++mMessages;
  ++mMessagesOf[aFrom];
  ++mMessagesOf[target];
  mMessageBytes += sizeOnTheMesh(vmName(aFrom), aOutgoing);
  const int from = dataCentreOf(aFrom);
  const int dataCentre = dataCentreOf(target);
  if (from != dataCentre && (from == mCut || dataCentre == mCut)) {
    return;
  }
  const double link = from == dataCentre ? kLinkInside : mSize.linkSeconds;
  const std::uint64_t run = mVms[target]->run;
  at(mNow + link, [this, aFrom, target, run, message = aOutgoing.message] {
    Vm& vm = *mVms[target];
    if (vm.alive && vm.run == run) {
      perform(target, vm.holder->onMessage(vmName(aFrom), message, now()));
    }
  });
}

void
LimitsFleet::perform(int aVm, const limits::Actions& aActions)
{
  for (const limits::Outgoing& outgoing : aActions.send) {
    transmit(aVm, outgoing);
  }
  Vm& vm = *mVms[aVm];
  for (const limits::Decided& end : aActions.decided) {
    const auto found = vm.waiting.find(end.ticket);
    if (found != vm.waiting.end()) {
      const Open open = found->second;
      vm.waiting.erase(found);
      decided(open, end.admitted, end.charge);
    }
  }
}

void
LimitsFleet::request(const Arrival& aArrival, bool aCounted)
{
  at(aArrival.at, [this, aArrival, aCounted] { arrive(aArrival, aCounted); });
}

bool
LimitsFleet::exactAdmits(const Arrival& aArrival)
{
  limits::Bucket& exact = mExact[aArrival.team];
  exact.fill(now());
  if (!exact.take(aArrival.cost)) {
    return false;
  }
  at(mNow + aArrival.duration, [this, aArrival, charged = now()] {
    mExact[aArrival.team].fill(now());
    mExact[aArrival.team].refund(charged, aArrival.unused);
  });
  return true;
}

bool
LimitsFleet::centralAdmits(const Arrival& aArrival)
{
  // One write for the charge and one for the refund.
  mCalls += 2;
  mPlatform.fill(now());
  if (dataCentreOf(aArrival.vm) == mCut || !mPlatform.take(2)) {
    return false;
  }
  mCentral[aArrival.team].fill(now());
  return mCentral[aArrival.team].take(aArrival.cost);
}

void
LimitsFleet::admitByLoans(const Open& aOpen)
{
  Vm& vm = *mVms[aOpen.arrival.vm];
  limits::Actions actions;
  const limits::Admission admission = vm.holder->admit(
    teamName(aOpen.arrival.team), aOpen.arrival.cost, now(), actions);
  if (admission.verdict == limits::Verdict::Waiting) {
    vm.waiting[admission.ticket] = aOpen;
    at(mNow + base::inSeconds(limits::kHold), [this, &vm, run = vm.run] {
      if (vm.alive && vm.run == run) {
        perform(vm.index, vm.holder->tick(now()));
      }
    });
  } else {
    decided(
      aOpen, admission.verdict == limits::Verdict::Admitted, admission.charge);
  }
  perform(vm.index, actions);
}

void
LimitsFleet::arrive(const Arrival& aArrival, bool aCounted)
{
  Vm& vm = *mVms[aArrival.vm];
  if (!vm.alive) {
    return; // the balancer sends nothing to a lost VM
  }
  const Open open{ aArrival, aCounted, exactAdmits(aArrival) };
  const limits::Charge charge{ teamName(aArrival.team), aArrival.cost, now() };
  switch (mPolicy) {
    case Policy::Loans:
      admitByLoans(open);
      break;
    case Policy::Static: {
      limits::Bucket& bucket = vm.fixed[aArrival.team];
      bucket.fill(now());
      decided(open, bucket.take(aArrival.cost), charge);
      break;
    }
    case Policy::Central:
      decided(open, centralAdmits(aArrival), charge);
      break;
  }
}

void
LimitsFleet::decided(const Open& aOpen,
                     bool aAdmitted,
                     const limits::Charge& aCharge)
{
  const Arrival& arrival = aOpen.arrival;
  for (Tally* tally : { &mTallies[arrival.team], &mVmTallies[arrival.vm] }) {
    if (aOpen.counted) {
      ++tally->requests;
      tally->refused += aAdmitted ? 0 : 1;
      tally->wrongful += !aAdmitted && aOpen.exact ? 1 : 0;
      tally->admittedTokens += aAdmitted ? arrival.cost : 0;
    }
  }
  if (!aAdmitted) {
    return;
  }
  const std::size_t admission =
    mOracles[arrival.team].admitted(mNow, arrival.cost);
  at(mNow + arrival.duration,
     [this, arrival, aCharge, admission, run = mVms[arrival.vm]->run] {
       refund(arrival.vm, run, arrival, aCharge, admission);
     });
}

void
LimitsFleet::refund(int aVm,
                    std::uint64_t aRun,
                    const Arrival& aArrival,
                    const limits::Charge& aCharge,
                    std::size_t aAdmission)
{
  Vm& vm = *mVms[aVm];
  double back = 0;
  if (mPolicy == Policy::Loans) {
    if (!vm.alive || vm.run != aRun) {
      return;
    }
    limits::Actions actions;
    back = vm.holder->refund(aCharge, aArrival.unused, now(), actions);
    perform(aVm, actions);
  } else {
    limits::Bucket& bucket = mPolicy == Policy::Static
                               ? vm.fixed[aArrival.team]
                               : mCentral[aArrival.team];
    bucket.fill(now());
    back = bucket.refund(aCharge.at, aArrival.unused);
  }
  mOracles[aArrival.team].refunded(aAdmission, back);
}

double
LimitsFleet::overAdmitted() const
{
  double most = 0;
  for (const limits::model::Oracle& oracle : mOracles) {
    most = std::max(most, oracle.excess({ { 0, 1e12, mRate, mBurst } }).tokens);
  }
  // Below a thousandth of a token it is rounding.
  return most < 1e-3 ? 0 : most;
}

std::uint64_t
LimitsFleet::mostMessagesOfAVm() const
{
  return *std::max_element(mMessagesOf.begin(), mMessagesOf.end());
}

} // namespace marigold::measure
