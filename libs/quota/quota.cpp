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
}

void
FleetQuota::setPeers(const std::vector<base::VmName>& aPeers,
                     base::TimePoint aNow)
{
  refill(aNow);
  for (const base::VmName& name : aPeers) {
    mPeers[name].unregisteredAt.reset();
  }
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
    const auto [peer, added] = mPeers.try_emplace(name);
    if (added) {
      peer->second.unregisteredAt = aNow;
    }
  }
}

void
FleetQuota::onPeerDraining(const base::VmName& aPeer, base::TimePoint aNow)
{
  refill(aNow);
  const auto found = mPeers.find(aPeer);
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

double
FleetQuota::shareOfOneVm() const
{
  return 1.0 / static_cast<double>(mPeers.size() + 1);
}

double
FleetQuota::reachableShare() const
{
  const auto unreachable =
    std::count_if(mPeers.begin(), mPeers.end(), [](const auto& aItem) {
      return aItem.second.unreachable;
    });
  return 1 - static_cast<double>(unreachable) * shareOfOneVm();
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

bool
FleetQuota::isIsolated() const
{
  // Peers that have never exchanged reports with this VM would not learn of its
  // debt.
  bool anyReported = false;
  for (const auto& [name, peer] : mPeers) {
    if (!peer.unreachable) {
      return false;
    }
    anyReported = anyReported || peer.hasReported;
  }
  return anyReported;
}

void
FleetQuota::detectUnreachablePeers(base::TimePoint aNow)
{
  std::vector<Peer*> unreachable;
  for (auto& [name, peer] : mPeers) {
    if (!peer.unreachable && aNow - peer.lastReportAt > mPeerTimeout) {
      unreachable.push_back(&peer);
    }
  }
  if (unreachable.empty()) {
    return;
  }
  base::TimePoint splitAt;
  for (const Peer* peer : unreachable) {
    splitAt = std::max(splitAt, peer->lastReportAt);
  }
  separatePeers(std::move(unreachable), true);
  for (auto& [team, bucket] : mBuckets) {
    // The split dates from the last report. Counting the whole refill since
    // then as overflow is accurate enough.
    bucket.overflow =
      bucket.limit.rate * shareOfOneVm() * base::inSeconds(aNow - splitAt);
  }
}

/**
 * Splits the buckets between this side and peers that became unreachable.
 * @param aPeers the peers
 * @param aPartitioned whether the peers cannot reach this VM either. Otherwise
 * they take over no part of a debt and may still consume units of the shared
 * bucket.
 */
void
FleetQuota::separatePeers(std::vector<Peer*> aPeers, bool aPartitioned)
{
  // Each split starts from the level that the earlier ones left.
  std::sort(
    aPeers.begin(), aPeers.end(), [](const Peer* aLeft, const Peer* aRight) {
      return aLeft->lastReportAt < aRight->lastReportAt;
    });
  std::size_t replayed = mIntervals.size();
  for (Peer* peer : aPeers) {
    const base::TimePoint at = aPartitioned ? peer->lastReportAt : mRefilledAt;
    const std::size_t interval = intervalAt(at);
    replay(replayed, interval);
    replayed = interval;
    separatePeer(*peer, at, interval, aPartitioned);
  }
  replay(replayed, mIntervals.size());
}

std::size_t
FleetQuota::intervalAt(base::TimePoint aAt) const
{
  std::size_t interval = mIntervals.size() - 1;
  while (interval > 0 && mIntervals[interval].start > aAt) {
    --interval;
  }
  return interval;
}

/** @return units in the shared bucket at a peer's last report, if that fell
 * into the given interval: refilled and capped, less the usage of peers */
double
FleetQuota::sharedLevel(const Bucket& aBucket, std::size_t aInterval) const
{
  const Delta& delta = aBucket.deltas[aInterval];
  const Interval& interval = mIntervals[aInterval];
  const double filled =
    delta.level + aBucket.limit.rate * interval.refillSeconds;
  return std::min(aBucket.limit.burst * interval.reachableShare, filled) -
         delta.peerUsage;
}

/** Moves an unreachable peer's part of every bucket, as of the given interval,
 * into the peer's reserve and removes its share from the refill since then.
 * replay() then charges the admissions of this side to the remaining part. */
void
FleetQuota::separatePeer(Peer& aPeer,
                         base::TimePoint aAt,
                         std::size_t aInterval,
                         bool aPartitioned)
{
  const double share = shareOfOneVm();
  const double othersShare = reachableShare() - share;
  aPeer.unreachable = true;
  const double part =
    share / std::max(mIntervals[aInterval].reachableShare, share + share);
  const double rateFactor = std::max(0.0, othersShare - share) / othersShare;
  for (auto& [team, bucket] : mBuckets) {
    // A partitioned peer consumes units of its own reserve only.
    bucket.peerRate *= aPartitioned ? rateFactor : 1;
    const double shared = sharedLevel(bucket, aInterval);
    Reserve& reserve = aPeer.reserves[team];
    // A peer that becomes unreachable again before it has reported the team
    // still has its earlier reserve, which only needs topping up to a full
    // share.
    const double previous = reservedUnits(reserve, bucket.limit);
    const double held = std::min(bucket.limit.burst * share, previous);
    const double minCharge = aPartitioned ? std::min(0.0, shared * part) : 0;
    const double charge =
      std::max(minCharge, shared * part - held * (1 - part));
    reserve.level = previous + charge;
    reserve.since = aAt;
    reserve.until.reset();
    bucket.deltas[aInterval].level = shared - charge;
    bucket.deltas[aInterval].peerUsage = 0;
  }
  mIntervals[aInterval].refillSeconds = 0;
  for (std::size_t index = aInterval; index < mIntervals.size(); ++index) {
    Interval& interval = mIntervals[index];
    const base::TimePoint end =
      index + 1 < mIntervals.size() ? mIntervals[index + 1].start : mRefilledAt;
    const double seconds = base::inSeconds(end - interval.start);
    interval.reachableShare = std::max(interval.reachableShare - share, share);
    if (index > aInterval) {
      interval.refillSeconds =
        std::max(interval.refillSeconds - seconds * share, seconds * share);
    }
  }
}

/** Recomputes the levels at the end of intervals aFirst to aEnd - 1 from the
 * level at the start of the first and the recorded changes. */
void
FleetQuota::replay(std::size_t aFirst, std::size_t aEnd)
{
  for (auto& [team, bucket] : mBuckets) {
    for (std::size_t index = aFirst; index < aEnd; ++index) {
      const double remaining =
        sharedLevel(bucket, index) - bucket.deltas[index].ownUsage;
      const double after = std::min(
        remaining, bucket.limit.burst * mIntervals[index].reachableShare);
      const bool last = index + 1 == mIntervals.size();
      (last ? bucket.level : bucket.deltas[index + 1].level) = after;
    }
  }
}

/** @return units of a reserve, refilled until the peer reported again, before
 * the peer's consumption is subtracted */
double
FleetQuota::reservedUnits(const Reserve& aReserve, const Limit& aLimit) const
{
  if (aReserve.since == base::TimePoint{}) {
    return 0;
  }
  const base::TimePoint until = aReserve.until.value_or(aReserve.since);
  return aReserve.level +
         aLimit.rate * shareOfOneVm() * base::inSeconds(until - aReserve.since);
}

/** Removes the peer's reserve for a team that it has reported.
 * @param aPeer peer @param aTeam team @param aBucket bucket of the team
 * @param aConsumed units that the peer consumed since its previous report
 * @return change of the bucket's level; negative if the peer consumed more than
 * its reserve held */
double
FleetQuota::mergeReserve(Peer& aPeer,
                         const base::TeamName& aTeam,
                         const Bucket& aBucket,
                         double aConsumed) const
{
  const auto found = aPeer.reserves.find(aTeam);
  if (found == aPeer.reserves.end()) {
    return -aConsumed;
  }
  const double reserved = reservedUnits(found->second, aBucket.limit);
  aPeer.reserves.erase(found);
  // The peer's own bucket was capped, possibly before it consumed the units.
  const double capped =
    std::min(reserved, aBucket.limit.burst * shareOfOneVm());
  return std::min(reserved - aConsumed, std::max(0.0, capped - aConsumed));
}

/** Discards a peer's reserves; a reserve in debt is charged to this side. */
void
FleetQuota::dropReserves(Peer& aPeer, base::TimePoint aNow)
{
  for (auto& [team, reserve] : aPeer.reserves) {
    const auto found = mBuckets.find(team);
    if (found == mBuckets.end()) {
      continue;
    }
    reserve.until = reserve.until.value_or(aNow);
    const double debt =
      std::max(0.0, -reservedUnits(reserve, found->second.limit));
    found->second.level -= debt;
    found->second.deltas.back().peerUsage += debt;
  }
  aPeer.reserves.clear();
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
    bucket.borrowable = isolated && !suspended
                          ? std::min(maxBorrow, bucket.borrowable + overflow)
                          : 0;
    bucket.overflow = isolated ? bucket.overflow + overflow : 0;
  }
  detectUnreachablePeers(aNow);
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

Decision
FleetQuota::admit(const base::TeamName& aTeam,
                  double aCost,
                  base::TimePoint aNow)
{
  refill(aNow);
  const auto found = mBuckets.find(aTeam);
  if (found == mBuckets.end() || found->second.limit.rate <= 0) {
    return {};
  }
  Bucket& bucket = found->second;
  // Withholds units that peers have probably consumed but not reported yet.
  const double withheld =
    std::max(0.0, bucket.peerRate * base::inSeconds(kReportLag) - mSlack);
  const bool needsFullBurst = aCost >= bucket.limit.burst;
  const double needed = needsFullBurst
                          ? bucket.limit.burst
                          : std::min(aCost + withheld, bucket.limit.burst);
  if (bucket.level < needed && !borrow(aTeam, bucket, aCost)) {
    const double missing = needed - bucket.level;
    const auto wait = base::fromSeconds(missing / bucket.limit.rate);
    return { false, std::max(wait, kMinRetryAfter) };
  }
  bucket.level -= aCost;
  bucket.deltas.back().ownUsage += aCost;
  bucket.borrowable = aCost > 0 ? 0 : bucket.borrowable;
  mUsage[aTeam] += aCost;
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
  // Usage is monotonic and may have been reported already, so the refund
  // changes the replica of this VM only.
  const auto found = mBuckets.find(aTeam);
  if (found == mBuckets.end()) {
    return;
  }
  Bucket& bucket = found->second;
  const double level = std::min(bucket.limit.burst, bucket.level + aCost);
  bucket.deltas.back().ownUsage -= level - bucket.level;
  bucket.level = level;
}

void
FleetQuota::onPeerUsage(const base::VmName& aPeer,
                        base::Incarnation aIncarnation,
                        const Usage& aUsage,
                        base::TimePoint aNow)
{
  refill(aNow);
  Peer& peer = mPeers[aPeer];
  const bool reconnected = peer.unreachable;
  const bool firstReport = !peer.hasReported && peer.totals.empty();
  if (!peer.totals.contains(aIncarnation)) {
    // What the previous process consumed at the end is unknown.
    dropReserves(peer, aNow);
  }
  for (auto& [team, reserve] : peer.reserves) {
    reserve.until = reserve.until.value_or(aNow);
  }
  Usage& totals = peer.totals[aIncarnation];
  for (const auto& [team, total] : aUsage) {
    double& last = totals[team];
    const double consumed = std::max(0.0, total - last);
    last = std::max(last, total);
    const auto found = mBuckets.find(team);
    if (found == mBuckets.end() || firstReport) {
      continue;
    }
    Bucket& bucket = found->second;
    // Consumption while the peer was unreachable does not reflect its current
    // rate.
    bucket.peerUsage += peer.reserves.contains(team) ? 0 : consumed;
    const double gain = mergeReserve(peer, team, bucket, consumed);
    const double level = std::min(bucket.limit.burst, bucket.level + gain);
    bucket.deltas.back().peerUsage -= level - bucket.level;
    bucket.level = level;
  }
  while (peer.totals.size() > kMaxIncarnations) {
    peer.totals.erase(peer.totals.begin()->first == aIncarnation
                        ? std::next(peer.totals.begin())
                        : peer.totals.begin());
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
    if (bucket.level > 0) {
      levels[team] = bucket.level;
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
