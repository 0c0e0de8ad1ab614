#include "tests/measure/limits_fleet.h"

#include <algorithm>

namespace marigold::measure {
namespace {

using namespace std::chrono_literals;

/** Start of virtual time. Not zero, as for a real monotonic clock. */
constexpr double kClockStartSeconds = 1000;

constexpr double kIntraDataCentreDelaySeconds = 0.0003;

/** The platform accepts several hundred writes per second. */
constexpr double kPlatformWritesPerSecond = 400;

/** Settings of the gateways. */
constexpr double kQuotaWindowSeconds = 8;
constexpr double kQuotaOvershoot = 0.1;

/** As in apps/gateway/peer_exchange.cpp. */
constexpr std::size_t kMinVmsForRelay = 4;
constexpr base::Duration kMaxSummaryStatusAge = 900ms;
constexpr int kTotalRepeats = 3;
constexpr int kMaxMissedStatuses = 5;

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

/** @return index in the name of a VM, also of a replacement */
int
indexOf(const base::VmName& aName)
{
  return std::stoi(aName.substr(aName.rfind('-') + 1));
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
  /** What a process has once it knows the configuration. */
  struct Replica
  {
    explicit Replica(const base::DataCentre& aDataCentre)
      : peers(aDataCentre)
    {
    }

    quota::FleetQuota quota;
    peers::PeerTable peers;
    peers::SummaryBuilder summaries;
    peers::ReportSchedule schedule;
    std::uint64_t sequence = 0;
  };

  int index = 0;
  base::VmName name;
  base::Incarnation incarnation = 0; ///< incremented on failure and restart
  bool alive = true;
  std::unique_ptr<Replica> replica;
  std::vector<TokenBucket> staticShares; ///< by team
};

LimitsFleet::LimitsFleet(FleetSize aSize,
                         Policy aPolicy,
                         const TeamLimits& aLimits)
  : mSize(std::move(aSize))
  , mPolicy(aPolicy)
  , mLimits(aLimits)
  , mExactBuckets(mSize.teams)
  , mExactBounds(mSize.teams)
  , mAdmissions(mSize.teams)
  , mTeamCounters(mSize.teams)
{
  for (TokenBucket& bucket : mExactBuckets) {
    bucket.fill(now());
    bucket.resize(mLimits.rate, mLimits.burst);
    bucket.add(mLimits.burst);
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
    vm.name = vmName(index);
    vm.staticShares = mExactBuckets;
    for (TokenBucket& bucket : vm.staticShares) {
      bucket.resize(mLimits.rate / vms(), mLimits.burst / vms());
    }
    mRegistered[vm.name] = index;
  }
  if (mPolicy != Policy::Quota) {
    return;
  }
  for (const auto& vm : mVms) {
    startQuota(*vm);
    // Spread the reports of the VMs over the period.
    const double period = base::inSeconds(vm->replica->schedule.statusPeriod());
    schedule(period * vm->index / vms(),
             [this, index = vm->index] { tick(index); });
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

base::DataCentre
LimitsFleet::dataCentreName(int aVm) const
{
  return "data-centre-" + std::to_string(dataCentreOf(aVm));
}

void
LimitsFleet::startQuota(Vm& aVm)
{
  aVm.replica = std::make_unique<Vm::Replica>(dataCentreName(aVm.index));
  quota::FleetQuota& quota = aVm.replica->quota;
  quota.setOwnName(aVm.name);
  quota.setSlack(mLimits.slack);
  quota.setOvershoot(kQuotaOvershoot);
  quota.setWindow(base::fromSeconds(kQuotaWindowSeconds));
  std::map<base::TeamName, quota::Limit> limits;
  for (int team = 0; team < mSize.teams; ++team) {
    limits[teamName(team)] = { mLimits.rate, mLimits.burst };
  }
  quota.setLimits(limits, now());
  onFleetChanged(aVm);
}

/** Replaces the registration of the VM that failed. */
void
LimitsFleet::registerVm(Vm& aVm)
{
  std::erase_if(mRegistered, [&aVm](const auto& aItem) {
    return aItem.second == aVm.index;
  });
  mRegistered[aVm.name] = aVm.index;
  startQuota(aVm);
  for (const auto& vm : mVms) {
    if (vm->alive && vm->replica && vm->index != aVm.index) {
      onFleetChanged(*vm);
    }
  }
}

void
LimitsFleet::onFleetChanged(Vm& aVm)
{
  std::vector<base::VmName> names;
  for (const auto& [name, index] : mRegistered) {
    if (index != aVm.index) {
      names.push_back(name);
    }
  }
  peers::ReportSchedule& schedule = aVm.replica->schedule;
  schedule.setFleetSize(
    mSize.vmsPerDataCentre - 1, mSize.dataCentres, mRegistered.size());
  aVm.replica->quota.setReportPeriod(schedule.maxPeriod());
  aVm.replica->quota.setPeers(names, now());
  aVm.replica->summaries.requestComplete();
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
  base::Duration period = peers::ReportSchedule().statusPeriod();
  if (vm.alive && vm.replica) {
    sendReports(vm);
    period = vm.replica->schedule.statusPeriod();
  }
  schedule(mNow + base::inSeconds(period), [this, aVm] { tick(aVm); });
}

void
LimitsFleet::failVm(int aVm)
{
  Vm& vm = *mVms[aVm];
  vm.alive = false;
  ++vm.incarnation;
}

void
LimitsFleet::replaceVm(int aVm, double aStoreDelaySeconds)
{
  Vm& vm = *mVms[aVm];
  ++vm.incarnation;
  vm.alive = true;
  vm.replica.reset();
  vm.name = vmName(aVm) + ".replacement";
  if (aStoreDelaySeconds >= 0 && mPolicy == Policy::Quota) {
    schedule(mNow + aStoreDelaySeconds, [this, &vm] { registerVm(vm); });
  }
}

std::vector<base::VmName>
LimitsFleet::neighbours(const Vm& aVm) const
{
  std::vector<base::VmName> names;
  for (const auto& [name, index] : mRegistered) {
    if (index != aVm.index && dataCentreOf(index) == dataCentreOf(aVm.index)) {
      names.push_back(name);
    }
  }
  return names;
}

base::VmName
LimitsFleet::relayOf(const Vm& aVm) const
{
  std::vector<base::VmName> ranking = neighbours(aVm);
  ranking.push_back(aVm.name);
  std::sort(ranking.begin(), ranking.end());
  const auto missed =
    kMaxMissedStatuses +
    (std::find(ranking.begin(), ranking.end(), aVm.name) - ranking.begin());
  const base::TimePoint since =
    now() - missed * aVm.replica->schedule.statusPeriod();
  return peers::electRelay(
    ranking, aVm.name, [&aVm, since](const base::VmName& aName) {
      return aVm.replica->peers.reportedSince(aName, since);
    });
}

std::vector<base::VmName>
LimitsFleet::otherRelays(const Vm& aVm) const
{
  std::map<base::DataCentre, std::vector<base::VmName>> rankings;
  for (const auto& [name, index] : mRegistered) {
    if (dataCentreOf(index) != dataCentreOf(aVm.index)) {
      rankings[dataCentreName(index)].push_back(name);
    }
  }
  std::vector<base::VmName> relays;
  const auto& summaries = aVm.replica->peers.summaries();
  for (const auto& [dataCentre, ranking] : rankings) {
    const auto latest = summaries.find(dataCentre);
    const auto names = peers::summaryRecipients(
      ranking,
      latest == summaries.end()
        ? std::nullopt
        : std::optional<base::VmName>(latest->second.summary.relay));
    relays.insert(relays.end(), names.begin(), names.end());
  }
  return relays;
}

peers::Status
LimitsFleet::nextStatus(Vm& aVm)
{
  peers::Status status;
  status.vm = aVm.name;
  status.dataCentre = dataCentreName(aVm.index);
  status.incarnation = aVm.incarnation;
  status.sequence = ++aVm.replica->sequence;
  status.usage = aVm.replica->quota.reportUsage();
  status.unregistered = aVm.replica->quota.unregistered();
  status.levels = aVm.replica->quota.levels(now());
  return status;
}

void
LimitsFleet::sendReports(Vm& aVm)
{
  const base::VmName relay = relayOf(aVm);
  const std::vector<base::VmName> near = neighbours(aVm);
  const bool usesRelay = near.size() + 1 >= kMinVmsForRelay;
  if (relay == aVm.name) {
    aVm.replica->peers.dropOwnSummary();
    sendSummary(aVm);
  }
  if (!usesRelay) {
    send(aVm, nextStatus(aVm), near);
  } else if (relay != aVm.name) {
    send(aVm, nextStatus(aVm), { relay });
  }
}

void
LimitsFleet::sendSummary(Vm& aVm)
{
  const bool remoteRegionsDue = aVm.replica->schedule.remoteRegionsDue(now());
  std::vector<base::VmName> to = neighbours(aVm);
  if (to.size() + 1 < kMinVmsForRelay) {
    to.clear();
  }
  if (mSize.sameRegion || remoteRegionsDue) {
    const std::vector<base::VmName> relays = otherRelays(aVm);
    to.insert(to.end(), relays.begin(), relays.end());
  }
  if (!to.empty()) {
    send(aVm,
         aVm.replica->summaries.build(nextStatus(aVm),
                                      aVm.replica->peers,
                                      kMaxSummaryStatusAge,
                                      kTotalRepeats *
                                        aVm.replica->schedule.maxPeriod(),
                                      now()),
         to);
  }
}

void
LimitsFleet::send(const Vm& aFrom,
                  const peers::Message& aMessage,
                  const std::vector<base::VmName>& aTo)
{
  const std::size_t bytes = peers::encode(aMessage).size();
  const auto message = std::make_shared<const peers::Message>(aMessage);
  const int from = dataCentreOf(aFrom.index);
  for (const base::VmName& name : aTo) {
    const int target = indexOf(name);
    ++mMessages;
    ++mMessagesByVm[aFrom.index];
    ++mMessagesByVm[target];
    mMessageBytes += bytes;
    const int dataCentre = dataCentreOf(target);
    if (from != dataCentre &&
        (from == mIsolatedDataCentre || dataCentre == mIsolatedDataCentre)) {
      continue;
    }
    const double delaySeconds = from == dataCentre
                                  ? kIntraDataCentreDelaySeconds
                                  : mSize.interDataCentreDelaySeconds;
    schedule(mNow + delaySeconds, [this, target, name, message] {
      Vm& vm = *mVms[target];
      if (vm.alive && vm.replica && vm.name == name) {
        receive(vm, *message);
      }
    });
  }
}

void
LimitsFleet::receive(Vm& aVm, const peers::Message& aMessage)
{
  if (const auto* status = std::get_if<peers::Status>(&aMessage)) {
    onStatus(aVm, *status);
  } else if (const auto* summary = std::get_if<peers::Summary>(&aMessage)) {
    onSummary(aVm, *summary);
  }
}

void
LimitsFleet::onStatus(Vm& aVm, const peers::Status& aStatus)
{
  if (!aVm.replica->peers.update(aStatus, now())) {
    return;
  }
  quota::FleetQuota& quota = aVm.replica->quota;
  quota.addUnregistered(aStatus.unregistered, now());
  quota.onPeerUsage(
    aStatus.vm, aStatus.incarnation, aStatus.usage, quota::Totals::All, now());
  quota.adoptLevels(aStatus.levels, now());
}

void
LimitsFleet::onSummary(Vm& aVm, const peers::Summary& aSummary)
{
  peers::PeerTable& table = aVm.replica->peers;
  if (aSummary.dataCentre == dataCentreName(aVm.index)) {
    if (!table.updateOwnSummary(aSummary, {}, now())) {
      return;
    }
  } else {
    if (!table.update(aSummary, now())) {
      return;
    }
    if (relayOf(aVm) == aVm.name) {
      send(aVm, aSummary, neighbours(aVm));
    }
  }
  quota::FleetQuota& quota = aVm.replica->quota;
  quota.addUnregistered(aSummary.unregistered, now());
  quota.adoptLevels(aSummary.levels, now());
  const auto totals =
    aSummary.complete ? quota::Totals::All : quota::Totals::Changed;
  for (const auto& [name, member] : aSummary.members) {
    if (name != aVm.name) {
      quota.onPeerUsage(name, member.incarnation, member.usage, totals, now());
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
  TokenBucket& exact = mExactBuckets[aArrival.team];
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

bool
LimitsFleet::admits(Vm& aVm, const Arrival& aArrival)
{
  switch (mPolicy) {
    case Policy::Quota:
      return aVm.replica &&
             aVm.replica->quota
               .admit(teamName(aArrival.team), aArrival.cost, now())
               .admitted;
    case Policy::Static:
      aVm.staticShares[aArrival.team].fill(now());
      return aVm.staticShares[aArrival.team].take(aArrival.cost);
    case Policy::Central:
      return centralBucketAdmits(aArrival);
  }
  return false;
}

bool
LimitsFleet::isReady(int aVm) const
{
  const Vm& vm = *mVms[aVm];
  return vm.alive && (vm.replica || mPolicy != Policy::Quota);
}

/** @return the VM itself if it is ready, else the next ready one of its data
 * centre; if there is none, the VM itself, because a load balancer that finds
 * no VM ready uses all */
int
LimitsFleet::balancedVm(int aVm) const
{
  const int size = mSize.vmsPerDataCentre;
  const int first = dataCentreOf(aVm) * size;
  for (int step = 0; step < size; ++step) {
    const int vm = first + (aVm - first + step) % size;
    if (isReady(vm)) {
      return vm;
    }
  }
  return aVm;
}

void
LimitsFleet::handleArrival(const Arrival& aArrival, bool aCounted)
{
  Arrival arrival = aArrival;
  if (mAvoidsUnreadyVms) {
    arrival.vm = balancedVm(arrival.vm);
  }
  Vm& vm = *mVms[arrival.vm];
  if (!vm.alive) {
    return; // No VM takes the connection.
  }
  const PendingRequest pending{ arrival, aCounted, exactBucketAdmits(arrival) };
  recordDecision(pending, admits(vm, arrival));
}

void
LimitsFleet::recordDecision(const PendingRequest& aPending, bool aAdmitted)
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
  mAdmissions[arrival.team].emplace_back(mNow, arrival.cost);
  const std::size_t admission =
    mExactBounds[arrival.team].admitted(mNow, arrival.cost);
  // The gateway charges the whole cost of a request that ran.
  if (mPolicy != Policy::Quota) {
    schedule(mNow + arrival.durationSeconds,
             [this, arrival, chargedAt = now(), admission] {
               refund(arrival, chargedAt, admission);
             });
  }
}

void
LimitsFleet::refund(const Arrival& aArrival,
                    base::TimePoint aChargedAt,
                    std::size_t aAdmission)
{
  TokenBucket& bucket = mPolicy == Policy::Static
                          ? mVms[aArrival.vm]->staticShares[aArrival.team]
                          : mCentralBuckets[aArrival.team];
  bucket.fill(now());
  mExactBounds[aArrival.team].refunded(
    aAdmission, bucket.refund(aChargedAt, aArrival.refundTokens));
}

double
LimitsFleet::maxOverAdmittedTokens() const
{
  double maxTokens = 0;
  for (const ExactBound& bound : mExactBounds) {
    maxTokens = std::max(maxTokens, bound.excess(mLimits.rate, mLimits.burst));
  }
  // Less than a thousandth of a token is a rounding error.
  return maxTokens < 1e-3 ? 0 : maxTokens;
}

double
LimitsFleet::maxAboveWindowBoundTokens() const
{
  const double bound = (mLimits.rate * kQuotaWindowSeconds + mLimits.burst) *
                         (1 + kQuotaOvershoot) +
                       mLimits.slack;
  double most = 0;
  for (const Admissions& admissions : mAdmissions) {
    double tokens = 0;
    auto first = admissions.begin();
    for (const auto& [at, cost] : admissions) {
      tokens += cost;
      for (; first->first < at - kQuotaWindowSeconds; ++first) {
        tokens -= first->second;
      }
      most = std::max(most, tokens - bound);
    }
  }
  return most;
}

std::uint64_t
LimitsFleet::maxMessagesPerVm() const
{
  return *std::max_element(mMessagesByVm.begin(), mMessagesByVm.end());
}

} // namespace marigold::measure
