#include "tests/measure/limits_fleet.h"

#include "apps/entry/loan_codec.h"
#include "mesh/mesh.h"

#include <algorithm>

namespace marigold::measure {
namespace {

/** Start of virtual time. Not zero, as for a real monotonic clock. */
constexpr double kClockStartSeconds = 1000;

constexpr double kIntraDataCentreDelaySeconds = 0.0003;

/** The platform accepts several hundred writes per second. */
constexpr double kPlatformWritesPerSecond = 400;

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
sealedMessageSize(const std::string& aFrom, const limits::Outgoing& aOutgoing)
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

struct LimitsFleet::PendingRequest
{
  Arrival arrival;
  bool counted = false;
  bool exactAdmitted = false;
};

struct LimitsFleet::Vm
{
  int index = 0;
  std::uint64_t incarnation = 0; ///< incremented on failure and restart
  bool alive = true;
  std::unique_ptr<limits::Holder> holder;
  std::vector<limits::Bucket> staticShares; ///< by team
  std::map<limits::Ticket, PendingRequest> pendingRequests;
};

LimitsFleet::LimitsFleet(FleetSize aSize,
                         Policy aPolicy,
                         double aRate,
                         double aBurst)
  : mSize(std::move(aSize))
  , mPolicy(aPolicy)
  , mRate(aRate)
  , mBurst(aBurst)
  , mExactBuckets(mSize.teams)
  , mOracles(mSize.teams)
  , mTeamCounters(mSize.teams)
{
  for (limits::Bucket& bucket : mExactBuckets) {
    bucket.fill(now());
    bucket.resize(mRate, mBurst);
    bucket.add(mBurst);
  }
  mCentralBuckets = mExactBuckets;
  mPlatformBucket.fill(now());
  mPlatformBucket.resize(kPlatformWritesPerSecond, kPlatformWritesPerSecond);
  mPlatformBucket.add(kPlatformWritesPerSecond);
  mVmCounters.resize(vms());
  mMessagesByVm.resize(vms());
  for (int index = 0; index < vms(); ++index) {
    mVms.push_back(std::make_unique<Vm>());
    Vm& vm = *mVms.back();
    vm.index = index;
    vm.staticShares = mExactBuckets;
    for (limits::Bucket& bucket : vm.staticShares) {
      bucket.resize(mRate / vms(), mBurst / vms());
    }
    startVm(vm);
    vm.holder->setSlot(limits::SlotTerm{ now(), now() + limits::kSlotValidity },
                       now());
    if (mPolicy == Policy::Loans) {
      // Spread the ticks of the VMs over the period.
      const double phase = base::inSeconds(limits::kTickPeriod) * index / vms();
      schedule(phase, [this, index] { tick(index); });
    }
  }
}

LimitsFleet::~LimitsFleet() = default;

base::TimePoint
LimitsFleet::now() const
{
  return base::TimePoint(base::fromSeconds(kClockStartSeconds + mNow));
}

void
LimitsFleet::schedule(double aTime, std::function<void()> aCallback)
{
  mEvents.emplace(aTime, std::move(aCallback));
}

void
LimitsFleet::startVm(Vm& aVm)
{
  ++aVm.incarnation;
  aVm.alive = true;
  aVm.pendingRequests.clear();
  const std::string name = vmName(aVm.index);
  aVm.holder = std::make_unique<limits::Holder>(name, aVm.incarnation);
  limits::FleetLimits fleet{ vms(), {} };
  for (int team = 0; team < mSize.teams; ++team) {
    fleet.teams.push_back({ teamName(team), mRate, mBurst });
  }
  aVm.holder->setLimits(fleet, now());
  // Peers in the same data centre come first.
  std::vector<base::VmName> peers;
  std::vector<base::VmName> remotePeers;
  for (int other = 0; other < vms(); ++other) {
    const bool same = dataCentreOf(other) == dataCentreOf(aVm.index);
    if (other != aVm.index) {
      (same ? peers : remotePeers).push_back(vmName(other));
    }
  }
  peers.insert(peers.end(), remotePeers.begin(), remotePeers.end());
  aVm.holder->setPeers(peers);
}

void
LimitsFleet::runUntil(double aUntil)
{
  while (!mEvents.empty() && mEvents.begin()->first <= aUntil) {
    auto event = mEvents.extract(mEvents.begin());
    mNow = event.key();
    event.mapped()();
  }
  mNow = aUntil;
}

void
LimitsFleet::tick(int aVm)
{
  Vm& vm = *mVms[aVm];
  if (vm.alive) {
    applyActions(aVm, vm.holder->tick(now()));
  }
  schedule(mNow + base::inSeconds(limits::kTickPeriod),
           [this, aVm] { tick(aVm); });
}

void
LimitsFleet::failVm(int aVm)
{
  Vm& vm = *mVms[aVm];
  vm.alive = false;
  ++vm.incarnation;
  vm.pendingRequests.clear();
}

void
LimitsFleet::replaceVm(int aVm, double aSlotDelaySeconds)
{
  Vm& vm = *mVms[aVm];
  startVm(vm);
  if (aSlotDelaySeconds >= 0) {
    schedule(mNow + aSlotDelaySeconds, [this, &vm] {
      vm.holder->setSlot(limits::SlotTerm{ now() + limits::kSettleTime,
                                           now() + limits::kSlotValidity },
                         now());
    });
  }
}

void
LimitsFleet::sendMessage(int aFrom, const limits::Outgoing& aOutgoing)
{
  const int target =
    std::stoi(aOutgoing.to.substr(aOutgoing.to.rfind('-') + 1));
  ++mMessages;
  ++mMessagesByVm[aFrom];
  ++mMessagesByVm[target];
  mMessageBytes += sealedMessageSize(vmName(aFrom), aOutgoing);
  const int from = dataCentreOf(aFrom);
  const int dataCentre = dataCentreOf(target);
  if (from != dataCentre &&
      (from == mIsolatedDataCentre || dataCentre == mIsolatedDataCentre)) {
    return;
  }
  const double delaySeconds = from == dataCentre
                                ? kIntraDataCentreDelaySeconds
                                : mSize.interDataCentreDelaySeconds;
  const std::uint64_t incarnation = mVms[target]->incarnation;
  schedule(mNow + delaySeconds,
           [this, aFrom, target, incarnation, message = aOutgoing.message] {
             Vm& vm = *mVms[target];
             if (vm.alive && vm.incarnation == incarnation) {
               applyActions(
                 target, vm.holder->onMessage(vmName(aFrom), message, now()));
             }
           });
}

void
LimitsFleet::applyActions(int aVm, const limits::Actions& aActions)
{
  for (const limits::Outgoing& outgoing : aActions.send) {
    sendMessage(aVm, outgoing);
  }
  Vm& vm = *mVms[aVm];
  for (const limits::Decided& end : aActions.decided) {
    const auto found = vm.pendingRequests.find(end.ticket);
    if (found != vm.pendingRequests.end()) {
      const PendingRequest pending = found->second;
      vm.pendingRequests.erase(found);
      recordDecision(pending, end.admitted, end.charge);
    }
  }
}

void
LimitsFleet::scheduleRequest(const Arrival& aArrival, bool aCounted)
{
  schedule(aArrival.at,
           [this, aArrival, aCounted] { handleArrival(aArrival, aCounted); });
}

bool
LimitsFleet::exactBucketAdmits(const Arrival& aArrival)
{
  limits::Bucket& exact = mExactBuckets[aArrival.team];
  exact.fill(now());
  if (!exact.take(aArrival.cost)) {
    return false;
  }
  schedule(mNow + aArrival.durationSeconds, [this, aArrival, charged = now()] {
    mExactBuckets[aArrival.team].fill(now());
    mExactBuckets[aArrival.team].refund(charged, aArrival.refundTokens);
  });
  return true;
}

bool
LimitsFleet::centralBucketAdmits(const Arrival& aArrival)
{
  // The charge and the refund are one write each.
  mPlatformCalls += 2;
  mPlatformBucket.fill(now());
  if (dataCentreOf(aArrival.vm) == mIsolatedDataCentre ||
      !mPlatformBucket.take(2)) {
    return false;
  }
  mCentralBuckets[aArrival.team].fill(now());
  return mCentralBuckets[aArrival.team].take(aArrival.cost);
}

void
LimitsFleet::admitByLoans(const PendingRequest& aPending)
{
  Vm& vm = *mVms[aPending.arrival.vm];
  limits::Actions actions;
  const limits::Admission admission = vm.holder->admit(
    teamName(aPending.arrival.team), aPending.arrival.cost, now(), actions);
  if (admission.verdict == limits::Verdict::Waiting) {
    vm.pendingRequests[admission.ticket] = aPending;
    schedule(mNow + base::inSeconds(limits::kHold),
             [this, &vm, incarnation = vm.incarnation] {
               if (vm.alive && vm.incarnation == incarnation) {
                 applyActions(vm.index, vm.holder->tick(now()));
               }
             });
  } else {
    recordDecision(aPending,
                   admission.verdict == limits::Verdict::Admitted,
                   admission.charge);
  }
  applyActions(vm.index, actions);
}

void
LimitsFleet::handleArrival(const Arrival& aArrival, bool aCounted)
{
  Vm& vm = *mVms[aArrival.vm];
  if (!vm.alive) {
    return; // the load balancer skips failed VMs
  }
  const PendingRequest pending{ aArrival,
                                aCounted,
                                exactBucketAdmits(aArrival) };
  const limits::Charge charge{ teamName(aArrival.team), aArrival.cost, now() };
  switch (mPolicy) {
    case Policy::Loans:
      admitByLoans(pending);
      break;
    case Policy::Static: {
      limits::Bucket& bucket = vm.staticShares[aArrival.team];
      bucket.fill(now());
      recordDecision(pending, bucket.take(aArrival.cost), charge);
      break;
    }
    case Policy::Central:
      recordDecision(pending, centralBucketAdmits(aArrival), charge);
      break;
  }
}

void
LimitsFleet::recordDecision(const PendingRequest& aPending,
                            bool aAdmitted,
                            const limits::Charge& aCharge)
{
  const Arrival& arrival = aPending.arrival;
  for (AdmissionCounters* counters :
       { &mTeamCounters[arrival.team], &mVmCounters[arrival.vm] }) {
    if (aPending.counted) {
      ++counters->requests;
      counters->refused += aAdmitted ? 0 : 1;
      counters->wrongfulRefusals +=
        !aAdmitted && aPending.exactAdmitted ? 1 : 0;
      counters->admittedTokens += aAdmitted ? arrival.cost : 0;
    }
  }
  if (!aAdmitted) {
    return;
  }
  const std::size_t admission =
    mOracles[arrival.team].admitted(mNow, arrival.cost);
  schedule(mNow + arrival.durationSeconds,
           [this,
            arrival,
            aCharge,
            admission,
            incarnation = mVms[arrival.vm]->incarnation] {
             refund(arrival.vm, incarnation, arrival, aCharge, admission);
           });
}

void
LimitsFleet::refund(int aVm,
                    std::uint64_t aIncarnation,
                    const Arrival& aArrival,
                    const limits::Charge& aCharge,
                    std::size_t aAdmission)
{
  Vm& vm = *mVms[aVm];
  double refunded = 0;
  if (mPolicy == Policy::Loans) {
    if (!vm.alive || vm.incarnation != aIncarnation) {
      return;
    }
    limits::Actions actions;
    refunded =
      vm.holder->refund(aCharge, aArrival.refundTokens, now(), actions);
    applyActions(aVm, actions);
  } else {
    limits::Bucket& bucket = mPolicy == Policy::Static
                               ? vm.staticShares[aArrival.team]
                               : mCentralBuckets[aArrival.team];
    bucket.fill(now());
    refunded = bucket.refund(aCharge.at, aArrival.refundTokens);
  }
  mOracles[aArrival.team].refunded(aAdmission, refunded);
}

double
LimitsFleet::maxOverAdmittedTokens() const
{
  double maxTokens = 0;
  for (const limits::model::Oracle& oracle : mOracles) {
    maxTokens =
      std::max(maxTokens, oracle.excess({ { 0, 1e12, mRate, mBurst } }).tokens);
  }
  // Less than a thousandth of a token is a rounding error.
  return maxTokens < 1e-3 ? 0 : maxTokens;
}

std::uint64_t
LimitsFleet::maxMessagesPerVm() const
{
  return *std::max_element(mMessagesByVm.begin(), mMessagesByVm.end());
}

} // namespace marigold::measure
