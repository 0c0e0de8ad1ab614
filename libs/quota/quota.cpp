#include "quota/quota.h"

#include <algorithm>

namespace marigold::quota {
namespace {

using namespace std::chrono_literals;

/** Report periods until a peer counts as unreachable. Three missed reports mean
 * that it is partitioned, stopped or overloaded; healthy links lose single
 * datagrams too, and a failed relay is replaced within two periods. */
constexpr unsigned kPeerTimeoutReports = 4;
constexpr base::Duration kMinPeerTimeout = 1s;
/** Delay until the admissions of peers are known: one report period plus the
 * latency of a link between regions. */
constexpr base::Duration kReportLag = 150ms;
/** Sampling period of the peers' consumption rate: two report periods. */
constexpr base::Duration kRatePeriod = 200ms;
/** Weight of the latest sample in the moving average of that rate. */
constexpr double kRateWeight = 0.2;
/** A longer gap between refills means that this process was suspended; what the
 * peers admitted meanwhile is not known yet. */
constexpr base::Duration kMaxRefillGap = 500ms;
/** Time for which the share of an unregistered VM stays reserved: a partition
 * of one hour plus some minutes to detect its end. */
constexpr base::Duration kUnregisteredRetention = 65min;
/** Intervals of the history per peer timeout. They locate the start of a
 * partition to about 60 ms, less than one report period. */
constexpr unsigned kIntervalsPerTimeout = 16;
/** Time until a bucket that started empty matches the rest of the fleet. */
constexpr base::Duration kWarmUpTime = 20s;
/** Processes of a VM whose totals are kept: the current and the previous one.
 */
constexpr std::size_t kMaxIncarnations = 2;
/** Weight of the latest request in the mean cost: some tens of requests. */
constexpr double kCostWeight = 0.03;
/** An earlier retry would find about the same level. */
constexpr base::Duration kMinRetryAfter = 50ms;

} // namespace

void
FleetQuota::setLimits(const std::map<base::TeamName, Limit>& aLimits,
                      base::TimePoint aNow)
{
  refill(aNow);
  std::erase_if(mBuckets, [&aLimits](const auto& aItem) {
    return !aLimits.contains(aItem.first);
  });
  bool changed = false;
  for (const auto& [team, limit] : aLimits) {
    Bucket& bucket = mBuckets[team];
    changed = changed || bucket.deltas.empty() || bucket.limit != limit;
    if (bucket.limit != limit) {
      bucket.used.clear(); // It was consumed under another limit.
    }
    bucket.limit = limit;
    bucket.level = std::min(bucket.level, limit.burst);
  }
  if (!changed) {
    return;
  }
  // The history cannot be replayed with other limits.
  mIntervals.clear();
  for (auto& [team, bucket] : mBuckets) {
    bucket.deltas.clear();
  }
  startInterval(aNow);
}

void
FleetQuota::setReportPeriod(base::Duration aPeriod)
{
  mPeerTimeout = std::max(kMinPeerTimeout, aPeriod * kPeerTimeoutReports);
  mReportDelay = aPeriod + kReportLag;
}

void
FleetQuota::setPeers(const std::vector<base::VmName>& aPeers,
                     base::TimePoint aNow)
{
  refill(aNow);
  for (const base::VmName& name : aPeers) {
    mPeers[name].unregisteredAt.reset();
  }
  // The registration of a VM may be seen for longer than its planned stop.
  std::erase_if(mPeers, [&](const auto& aItem) {
    const auto& [name, peer] = aItem;
    return peer.totals.empty() && mDrained.contains(name) &&
           std::find(aPeers.begin(), aPeers.end(), name) == aPeers.end();
  });
  std::erase_if(mDrained, [aNow](const auto& aItem) {
    return aNow - aItem.second.at > kUnregisteredRetention;
  });
  for (auto& [name, peer] : mPeers) {
    const bool registered =
      std::find(aPeers.begin(), aPeers.end(), name) != aPeers.end();
    if (!registered && !peer.unregisteredAt) {
      peer.unregisteredAt = aNow;
    }
  }
  std::erase_if(mPeers, [aNow](const auto& aItem) {
    const auto& unregisteredAt = aItem.second.unregisteredAt;
    return unregisteredAt && aNow - *unregisteredAt > kUnregisteredRetention;
  });
}

void
FleetQuota::addUnregistered(const std::vector<base::VmName>& aPeers,
                            base::TimePoint aNow)
{
  for (const base::VmName& name : aPeers) {
    // Peers may say so before they have heard of the planned stop.
    if (name == mOwnName || mDrained.contains(name)) {
      continue;
    }
    const auto [peer, added] = mPeers.try_emplace(name);
    if (added) {
      peer->second.unregisteredAt = aNow;
    }
  }
}

void
FleetQuota::onPeerDraining(const base::VmName& aPeer,
                           base::Incarnation aIncarnation,
                           base::TimePoint aNow)
{
  refill(aNow);
  const auto found = mPeers.find(aPeer);
  if (found != mPeers.end() && beganBeforeKnown(found->second, aIncarnation) &&
      !found->second.totals.empty()) {
    return; // Its successor reports already.
  }
  mDrained[aPeer] = { aIncarnation, aNow };
  if (found == mPeers.end()) {
    return;
  }
  dropReserves(found->second, aNow);
  mPeers.erase(found);
}

std::vector<base::VmName>
FleetQuota::unregistered() const
{
  std::vector<base::VmName> names;
  for (const auto& [name, peer] : mPeers) {
    if (peer.unregisteredAt) {
      names.push_back(name);
    }
  }
  return names;
}

void
FleetQuota::startInterval(base::TimePoint aNow)
{
  mIntervals.push_back({ aNow, reachableShare(), 0 });
  for (auto& [team, bucket] : mBuckets) {
    bucket.deltas.push_back({ bucket.level, 0, 0 });
  }
  while (aNow - mIntervals.front().start > mPeerTimeout + kMaxRefillGap) {
    mIntervals.pop_front();
    for (auto& [team, bucket] : mBuckets) {
      bucket.deltas.pop_front();
    }
  }
}

void
FleetQuota::refill(base::TimePoint aNow)
{
  if (mRefilledAt == base::TimePoint{}) {
    mRefilledAt = aNow;
    mStartedAt = aNow;
    startInterval(aNow);
  }
  const base::Duration passed = aNow - mRefilledAt;
  if (passed <= base::Duration::zero()) {
    return;
  }
  const bool suspended = passed > kMaxRefillGap;
  if (suspended) {
    // What the peers consumed meanwhile is not known. The pause did not cut
    // them off from each other, so they take over no part of this VM's debt.
    startInterval(mRefilledAt);
    std::vector<Peer*> reachable;
    for (auto& [name, peer] : mPeers) {
      if (!peer.unreachable) {
        reachable.push_back(&peer);
      }
    }
    separatePeers(std::move(reachable), false);
  }
  mRefilledAt = aNow;
  const double share = reachableShare();
  const double seconds = base::inSeconds(passed);
  mIntervals.back().reachableShare = share;
  mIntervals.back().refillSeconds += share * seconds;
  const bool isolated = isIsolated();
  for (auto& [team, bucket] : mBuckets) {
    // Each side of a partition keeps only its share of the burst; otherwise
    // each could spend all of it.
    const double added = bucket.limit.rate * share * seconds;
    const double filled = bucket.level + added;
    bucket.level = std::min(bucket.limit.burst * share, filled);
    const double overflow = std::min(added, filled - bucket.level);
    const double maxBorrow =
      bucket.limit.rate * share * base::inSeconds(mWindow);
    // Peers that hold less had room for what did not fit here. If some are
    // unreachable, the others' levels cannot be told.
    bucket.unreportedRefund =
      share < 1 ? 0 : std::max(0.0, bucket.unreportedRefund - overflow);
    bucket.borrowable = isolated && !suspended
                          ? std::min(maxBorrow, bucket.borrowable + overflow)
                          : 0;
    bucket.overflow = isolated ? bucket.overflow + overflow : 0;
    bucket.used.slide(mWindow, aNow);
  }
  detectUnreachablePeers(aNow);
  updateSilence(aNow);
  if (aNow - mIntervals.back().start >= mPeerTimeout / kIntervalsPerTimeout) {
    startInterval(aNow);
  }
  updatePeerRates(aNow);
}

void
FleetQuota::updatePeerRates(base::TimePoint aNow)
{
  const base::Duration passed = aNow - mRatesUpdatedAt;
  if (passed < kRatePeriod) {
    return;
  }
  mRatesUpdatedAt = aNow;
  for (auto& [team, bucket] : mBuckets) {
    const double sample = bucket.peerUsage / base::inSeconds(passed);
    bucket.peerUsage = 0;
    bucket.peerRate += kRateWeight * (sample - bucket.peerRate);
  }
}

void
FleetQuota::recordCost(Bucket& aBucket, double aCost)
{
  if (aCost <= 0) {
    return;
  }
  const double weight = aBucket.meanCost > 0 ? kCostWeight : 1;
  aBucket.meanCost += weight * (aCost - aBucket.meanCost);
}

/** A bucket of a team over its limit is nearly empty most of the time. If a
 * request needed as many units as it costs, small requests would take them all
 * and large ones would starve. So all need the mean cost, and larger ones
 * overdraw the bucket. A take-up may overdraw it as far as the largest request
 * does, so that new requests don't take each unit before it.
 * @return level at which a request is admitted */
double
FleetQuota::neededLevel(const Bucket& aBucket, double aCost, Claim aClaim) const
{
  // Withholds units that peers have probably consumed but not reported yet.
  const double withheld =
    std::max(0.0, aBucket.peerRate * base::inSeconds(kReportLag) - mSlack);
  const double burst = aBucket.limit.burst;
  // The overdrafts of all sides of a partition together stay within the slack.
  const double share = reachableShare();
  const double maxOverdraft = isIsolated() ? 0 : mSlack * share;
  // A bucket loses refill while it is full, so this is well below its capacity.
  const double common = std::min(aBucket.meanCost, burst * share / 2);
  const double lowest = aCost - maxOverdraft;
  const bool takesTurn = aClaim == Claim::New && maxOverdraft > 0;
  const double level = takesTurn ? std::max(common, lowest) : lowest;
  return std::min(level + withheld, burst);
}

Decision
FleetQuota::admit(const base::TeamName& aTeam,
                  double aCost,
                  base::TimePoint aNow,
                  Ask aAsk,
                  Claim aClaim)
{
  refill(aNow);
  const auto found = mBuckets.find(aTeam);
  if (found == mBuckets.end() || found->second.limit.rate <= 0) {
    return {};
  }
  Bucket& bucket = found->second;
  if (aAsk == Ask::First) {
    recordCost(bucket, aCost);
  }
  const double beyondPart = aClaim == Claim::New ? unitsBeyondPart(bucket) : 0;
  if (beyondPart > 0) {
    return { false, mReportDelay, beyondPart, true };
  }
  const double needed = neededLevel(bucket, aCost, aClaim);
  if (bucket.level < needed && !borrow(aTeam, bucket, aCost)) {
    const double missing = needed - bucket.level;
    const auto wait = base::fromSeconds(missing / bucket.limit.rate);
    return { false, std::max(wait, kMinRetryAfter), missing };
  }
  bucket.level -= aCost;
  bucket.deltas.back().ownUsage += aCost;
  bucket.used.add(aCost, 0, aNow);
  bucket.borrowable = aCost > 0 ? 0 : bucket.borrowable;
  const double refunded = std::min(bucket.unreportedRefund, aCost);
  bucket.unreportedRefund -= refunded;
  mUsage[aTeam] += aCost - refunded;
  return {};
}

/** Lets an isolated VM admit a request beyond its level. Peers assume that this
 * VM's reserve kept its whole refill, so the overflow is written off as usage;
 * the debt then equals the units that the peers find missing.
 * @return true if the request may be admitted */
bool
FleetQuota::borrow(const base::TeamName& aTeam, Bucket& aBucket, double aCost)
{
  if (aBucket.borrowable <= 0 || aCost > aBucket.level + aBucket.borrowable) {
    return false;
  }
  mUsage[aTeam] += aBucket.overflow;
  aBucket.overflow = 0;
  return true;
}

void
FleetQuota::refund(const base::TeamName& aTeam, double aCost)
{
  const auto found = mBuckets.find(aTeam);
  if (found == mBuckets.end()) {
    return;
  }
  // Reported usage never decreases: a peer could not tell a smaller total from
  // a late report.
  double& usage = mUsage[aTeam];
  const double unreported = std::min(aCost, usage - mReported[aTeam]);
  usage -= unreported;
  Bucket& bucket = found->second;
  const double level = std::min(bucket.limit.burst, bucket.level + aCost);
  const double gain = level - bucket.level;
  bucket.unreportedRefund =
    std::max(0.0, bucket.unreportedRefund + gain - unreported);
  bucket.deltas.back().ownUsage -= gain;
  bucket.used.add(-aCost, 0, mRefilledAt);
  bucket.level = level;
}

void
FleetQuota::onPeerUsage(const base::VmName& aPeer,
                        base::Incarnation aIncarnation,
                        const Usage& aUsage,
                        Totals aTotals,
                        base::TimePoint aNow)
{
  refill(aNow);
  const auto drained = mDrained.find(aPeer);
  if (drained != mDrained.end()) {
    if (drained->second.incarnation == aIncarnation) {
      return; // A relay has passed it on late.
    }
    mDrained.erase(drained);
  }
  Peer& peer = mPeers[aPeer];
  const bool reconnected = peer.unreachable;
  if (peer.totals.empty()) {
    addRefillSinceStart(aNow);
  }
  if (beganBeforeKnown(peer, aIncarnation)) {
    peer.baselinePending.insert(aIncarnation);
  }
  if (!peer.totals.contains(aIncarnation)) {
    // What the previous process consumed at the end is unknown.
    dropReserves(peer, aNow);
  }
  for (auto& [team, reserve] : peer.reserves) {
    reserve.until = reserve.until.value_or(aNow);
  }
  Usage& totals = peer.totals[aIncarnation];
  for (const auto& [team, total] : aUsage) {
    const auto [known, added] = totals.try_emplace(team, 0);
    const double consumed = std::max(0.0, total - known->second);
    known->second = std::max(known->second, total);
    if (!added || !peer.baselinePending.contains(aIncarnation)) {
      applyUsage(peer, team, consumed);
    }
  }
  if (aTotals == Totals::All) {
    peer.baselinePending.erase(aIncarnation);
    // Teams that are not listed have consumed nothing.
    for (const auto& [team, reserve] : std::map(peer.reserves)) {
      if (!aUsage.contains(team)) {
        applyUsage(peer, team, 0);
      }
    }
  }
  while (peer.totals.size() > kMaxIncarnations) {
    const auto oldest = peer.totals.begin()->first == aIncarnation
                          ? std::next(peer.totals.begin())
                          : peer.totals.begin();
    peer.baselinePending.erase(oldest->first);
    peer.totals.erase(oldest);
  }
  peer.hasReported = true;
  peer.unreachable = false;
  peer.lastReportAt = aNow;
  if (reconnected) {
    mIntervals.back().reachableShare = reachableShare();
    for (auto& [team, bucket] : mBuckets) {
      bucket.borrowable = 0;
      bucket.overflow = 0;
    }
  }
}

/** Reports of a process that has ended may arrive, through a relay, behind the
 * first one of its successor.
 * @return true for a process that this VM does not know and that is not the
 * successor of those it knows */
bool
FleetQuota::beganBeforeKnown(const Peer& aPeer, base::Incarnation aIncarnation)
{
  return aPeer.totals.empty() || (!aPeer.totals.contains(aIncarnation) &&
                                  aIncarnation < aPeer.totals.rbegin()->first);
}

/** Subtracts units that a peer consumed from the bucket of a team, and merges
 * the peer's reserve. */
void
FleetQuota::applyUsage(Peer& aPeer,
                       const base::TeamName& aTeam,
                       double aConsumed)
{
  const auto found = mBuckets.find(aTeam);
  if (found == mBuckets.end()) {
    aPeer.reserves.erase(aTeam);
    return;
  }
  Bucket& bucket = found->second;
  // Consumption while the peer was unreachable does not reflect its current
  // rate.
  const auto reserve = aPeer.reserves.find(aTeam);
  if (reserve == aPeer.reserves.end()) {
    bucket.peerUsage += aConsumed;
    bucket.used.add(0, aConsumed, mRefilledAt);
  } else {
    const base::TimePoint since = reserve->second.since;
    const base::Duration age = mRefilledAt - since;
    const double recent =
      age > mWindow ? base::inSeconds(mWindow) / base::inSeconds(age) : 1;
    bucket.used.addEarlier(aConsumed * recent, since, mRefilledAt);
  }
  const double gain = mergeReserve(aPeer, aTeam, bucket, aConsumed);
  const double level = std::min(bucket.limit.burst, bucket.level + gain);
  bucket.deltas.back().peerUsage -= level - bucket.level;
  bucket.level = level;
}

double
FleetQuota::level(const base::TeamName& aTeam) const
{
  const auto found = mBuckets.find(aTeam);
  return found == mBuckets.end() ? 0 : found->second.level;
}

Usage
FleetQuota::levels(base::TimePoint aNow) const
{
  const bool warm = mWarm || aNow - mStartedAt > kWarmUpTime;
  const bool allReachable =
    std::none_of(mPeers.begin(), mPeers.end(), [](const auto& aItem) {
      return aItem.second.unreachable && !aItem.second.unregisteredAt;
    });
  Usage levels;
  if (!warm || !allReachable) {
    return levels;
  }
  for (const auto& [team, bucket] : mBuckets) {
    const double level = bucket.level - bucket.unreportedRefund;
    if (level > 0) {
      levels[team] = level;
    }
  }
  return levels;
}

void
FleetQuota::adoptLevels(const Usage& aLevels, base::TimePoint aNow)
{
  if (aLevels.empty() || mWarm || aNow - mStartedAt > kWarmUpTime) {
    return;
  }
  refill(aNow);
  mWarm = true;
  for (auto& [team, bucket] : mBuckets) {
    const auto adopted = aLevels.find(team);
    const auto used = mUsage.find(team);
    if (adopted != aLevels.end()) {
      const double remaining =
        adopted->second - (used == mUsage.end() ? 0 : used->second);
      const double level = std::max(bucket.level, remaining);
      bucket.deltas.back().peerUsage -= level - bucket.level;
      bucket.level = level;
    }
  }
}

} // namespace marigold::quota
