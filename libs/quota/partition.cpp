#include "quota/quota.h"

#include <algorithm>

namespace marigold::quota {
namespace {

using namespace std::chrono_literals;

/** Time within which all VMs of a side report after a partition: the period of
 * complete reports plus a margin. */
constexpr base::Duration kSettlementTime = 5s;

} // namespace

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

void
FleetQuota::updateSilence(base::TimePoint aNow)
{
  mSilentSince.clear();
  mHeardAt = mStartedAt;
  if (mWindow <= base::Duration::zero()) {
    return;
  }
  for (const auto& [name, peer] : mPeers) {
    mHeardAt = std::max(mHeardAt, peer.lastReportAt);
    if (aNow - peer.lastReportAt > mReportDelay) {
      mSilentSince.push_back(peer.lastReportAt);
    }
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
 * the reserves of its side held */
double
FleetQuota::mergeReserve(Peer& aPeer,
                         const base::TeamName& aTeam,
                         Bucket& aBucket,
                         double aConsumed)
{
  const auto found = aPeer.reserves.find(aTeam);
  if (found == aPeer.reserves.end()) {
    return -aConsumed;
  }
  const Reserve reserve = found->second;
  aPeer.reserves.erase(found);
  const double reserved = reservedUnits(reserve, aBucket.limit);
  // The peer's own bucket was capped, possibly before it consumed the units.
  const double capped =
    std::min(reserved, aBucket.limit.burst * shareOfOneVm());
  const double gain =
    std::min(reserved - aConsumed, std::max(0.0, capped - aConsumed));
  if (gain < 0) {
    const double debt = chargeSurplus(aBucket, -gain);
    return -chargeReserves(aTeam, aBucket.limit, reserve, debt);
  }
  const bool expired = mRefilledAt > aBucket.surplusUntil;
  aBucket.surplus =
    (expired ? 0 : aBucket.surplus) + reserved - aConsumed - gain;
  aBucket.surplusUntil = mRefilledAt + kSettlementTime;
  return gain;
}

/** @return what remains of a debt after the surplus of merged reserves */
double
FleetQuota::chargeSurplus(Bucket& aBucket, double aDebt) const
{
  if (mRefilledAt > aBucket.surplusUntil) {
    return aDebt;
  }
  const double paid = std::min(aDebt, aBucket.surplus);
  aBucket.surplus -= paid;
  return aDebt - paid;
}

/** Charges a debt to the reserves of peers that were unreachable at the same
 * time and have not reported the team yet.
 * @param aTeam team @param aLimit its limit
 * @param aMerged reserve of the peer that consumed the units
 * @param aDebt units beyond that reserve
 * @return what remains of the debt */
double
FleetQuota::chargeReserves(const base::TeamName& aTeam,
                           const Limit& aLimit,
                           const Reserve& aMerged,
                           double aDebt)
{
  const double share = shareOfOneVm();
  const base::TimePoint mergedUntil = aMerged.until.value_or(mRefilledAt);
  for (auto& [name, peer] : mPeers) {
    const auto found = peer.reserves.find(aTeam);
    if (found == peer.reserves.end()) {
      continue;
    }
    Reserve& reserve = found->second;
    const auto since = std::max(reserve.since, aMerged.since);
    const auto until =
      std::min(reserve.until.value_or(mRefilledAt), mergedUntil);
    if (until <= since) {
      continue;
    }
    const double available =
      std::min(aLimit.burst * share,
               std::max(0.0, reserve.level + reserve.charged)) +
      aLimit.rate * share * base::inSeconds(until - since) - reserve.charged;
    const double paid = std::clamp(available, 0.0, aDebt);
    reserve.level -= paid;
    reserve.charged += paid;
    aDebt -= paid;
  }
  return aDebt;
}

/** The share of a peer that is heard for the first time has refilled the bucket
 * of the fleet since this process started. Without it, VMs that start together
 * lose what refills until they have found each other. A peer that was silent
 * for longer may be on another side of a partition, which uses its share. */
void
FleetQuota::addRefillSinceStart(base::TimePoint aNow)
{
  const base::Duration age = aNow - mStartedAt;
  if (mWarm || age > mPeerTimeout) {
    return;
  }
  const double share = shareOfOneVm();
  for (auto& [team, bucket] : mBuckets) {
    const double refilled =
      std::min(bucket.limit.burst, bucket.limit.rate * base::inSeconds(age));
    bucket.level += refilled * share;
    bucket.deltas.back().peerUsage -= refilled * share;
  }
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

} // namespace marigold::quota
