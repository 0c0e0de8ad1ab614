#include "quota/quota.h"

#include <algorithm>

namespace marigold::quota {
namespace {

using namespace std::chrono_literals;

/** A peer that missed three reports is cut off, stopped or overloaded; single
 * datagrams are lost on sound links too, and a relay that died is replaced
 * within two. */
constexpr unsigned kSilentReports = 4;
constexpr base::Duration kLeastSilence = 1s;
/** What peers admit stays unknown for about this long: one report and a link
 * between regions. */
constexpr base::Duration kReportLag = 150ms;
/** Period over which the rate of the peers is measured: two reports. */
constexpr base::Duration kRatePeriod = 200ms;
/** Weight of the newest period in the smoothed rate of the peers. */
constexpr double kRateWeight = 0.2;
/** A longer pause of this process means that it was stopped; what the peers
 * admitted meanwhile is not known yet. */
constexpr base::Duration kLongestGap = 500ms;
/** A partition of an hour with some minutes to notice its end. */
constexpr base::Duration kReserveLapsed = 65min;
/** After this, a bucket that began empty holds what the fleet has left. */
constexpr base::Duration kSettleAfter = 20s;
/** Processes of a VM whose totals are kept: the latest and the one before. */
constexpr std::size_t kKnownProcesses = 2;
/** A retry before this would find about the same level. */
constexpr base::Duration kLeastRetryAfter = 50ms;

} // namespace

void
FleetQuota::setLimits(const std::map<base::TeamName, Limit>& aLimits,
                      base::TimePoint aNow)
{
  refill(aNow);
  std::erase_if(mBuckets, [&aLimits](const auto& aItem) {
    return !aLimits.contains(aItem.first);
  });
  for (const auto& [team, limit] : aLimits) {
    Bucket& bucket = mBuckets[team];
    bucket.limit = limit;
    bucket.level = std::min(bucket.level, limit.burst);
  }
}

void
FleetQuota::setReportPeriod(base::Duration aPeriod)
{
  mSilence = std::max(kLeastSilence, aPeriod * kSilentReports);
}

void
FleetQuota::setPeers(const std::vector<base::VmName>& aPeers,
                     base::TimePoint aNow)
{
  refill(aNow);
  for (const base::VmName& name : aPeers) {
    mPeers[name].lapsedAt.reset();
  }
  for (auto& [name, peer] : mPeers) {
    const bool registered =
      std::find(aPeers.begin(), aPeers.end(), name) != aPeers.end();
    if (!registered && !peer.lapsedAt) {
      peer.lapsedAt = aNow;
    }
  }
  std::erase_if(mPeers, [aNow](const auto& aItem) {
    const auto& lapsedAt = aItem.second.lapsedAt;
    return lapsedAt && aNow - *lapsedAt > kReserveLapsed;
  });
}

void
FleetQuota::addLapsed(const std::vector<base::VmName>& aPeers,
                      base::TimePoint aNow)
{
  for (const base::VmName& name : aPeers) {
    const auto [peer, added] = mPeers.try_emplace(name);
    if (added) {
      peer->second.lapsedAt = aNow;
    }
  }
}

void
FleetQuota::onDeparted(const base::VmName& aPeer, base::TimePoint aNow)
{
  refill(aNow);
  mPeers.erase(aPeer);
}

std::vector<base::VmName>
FleetQuota::lapsed() const
{
  std::vector<base::VmName> names;
  for (const auto& [name, peer] : mPeers) {
    if (peer.lapsedAt) {
      names.push_back(name);
    }
  }
  return names;
}

double
FleetQuota::shareOfOne() const
{
  return 1.0 / static_cast<double>(mPeers.size() + 1);
}

double
FleetQuota::reach() const
{
  const auto silent =
    std::count_if(mPeers.begin(), mPeers.end(), [](const auto& aItem) {
      return aItem.second.silent;
    });
  return 1 - static_cast<double>(silent) * shareOfOne();
}

void
FleetQuota::noteSilence(base::TimePoint aNow)
{
  for (auto& [name, peer] : mPeers) {
    if (peer.silent || aNow - peer.heardAt <= mSilence) {
      continue;
    }
    peer.silent = true;
    // Its share of the burst was part of this copy, and its share of the rate
    // has flowed in since it was last heard, although it may use both itself.
    const double seconds = base::inSeconds(aNow - peer.heardAt);
    for (auto& [team, bucket] : mBuckets) {
      const double charge =
        (bucket.limit.burst + bucket.limit.rate * seconds) * shareOfOne();
      bucket.level -= charge;
      peer.reserves[team] = { charge, aNow, std::nullopt };
    }
  }
}

double
FleetQuota::settle(Peer& aPeer,
                   const base::TeamName& aTeam,
                   const Bucket& aBucket) const
{
  const auto found = aPeer.reserves.find(aTeam);
  if (found == aPeer.reserves.end() || !found->second.until) {
    return 0;
  }
  const Reserve reserve = found->second;
  aPeer.reserves.erase(found);
  const double seconds = base::inSeconds(*reserve.until - reserve.since);
  return reserve.charged + aBucket.limit.rate * seconds * shareOfOne();
}

void
FleetQuota::refill(base::TimePoint aNow)
{
  if (mRefilled == base::TimePoint{}) {
    mRefilled = aNow;
    mStarted = aNow;
  }
  const base::Duration passed = aNow - mRefilled;
  if (passed <= base::Duration::zero()) {
    return;
  }
  mRefilled = aNow;
  const bool paused = passed > kLongestGap;
  const double share = paused ? shareOfOne() : reach();
  for (auto& [team, bucket] : mBuckets) {
    // Every side of a partition keeps its share of the burst only, or each
    // could spend all of it.
    bucket.level = std::min(bucket.limit.burst * share,
                            bucket.level + bucket.limit.rate * share *
                                             base::inSeconds(passed));
  }
  if (paused) {
    for (auto& [name, peer] : mPeers) {
      if (peer.silent) {
        continue;
      }
      peer.silent = true;
      for (const auto& [team, bucket] : mBuckets) {
        peer.reserves[team] = { 0, aNow - passed, std::nullopt };
      }
    }
  } else {
    noteSilence(aNow);
  }
  updatePeerRates(aNow);
}

void
FleetQuota::updatePeerRates(base::TimePoint aNow)
{
  const base::Duration passed = aNow - mRatesUpdated;
  if (passed < kRatePeriod) {
    return;
  }
  mRatesUpdated = aNow;
  for (auto& [team, bucket] : mBuckets) {
    const double latest = bucket.peerTaken / base::inSeconds(passed);
    bucket.peerTaken = 0;
    bucket.peerRate += kRateWeight * (latest - bucket.peerRate);
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
  // Peers may have taken units that their reports do not show yet.
  const double reserve =
    std::max(0.0, bucket.peerRate * base::inSeconds(kReportLag) - mSlack);
  const bool wholeBurst = aCost >= bucket.limit.burst;
  const double needed = wholeBurst
                          ? bucket.limit.burst
                          : std::min(aCost + reserve, bucket.limit.burst);
  if (bucket.level < needed) {
    const double missing = needed - bucket.level;
    const auto wait = base::fromSeconds(missing / bucket.limit.rate);
    return { false, std::max(wait, kLeastRetryAfter) };
  }
  bucket.level -= aCost;
  mUsage[aTeam] += aCost;
  return {};
}

void
FleetQuota::refund(const base::TeamName& aTeam, double aCost)
{
  // Usage that peers already saw cannot be taken back, so the refund stays in
  // this VM's copy only.
  const auto found = mBuckets.find(aTeam);
  if (found != mBuckets.end()) {
    found->second.level =
      std::min(found->second.limit.burst, found->second.level + aCost);
  }
}

void
FleetQuota::onPeerUsage(const base::VmName& aPeer,
                        base::Incarnation aIncarnation,
                        const Usage& aUsage,
                        base::TimePoint aNow)
{
  refill(aNow);
  Peer& peer = mPeers[aPeer];
  const bool first = !peer.heard && peer.totals.empty();
  if (!peer.totals.contains(aIncarnation)) {
    // What its process before used in the end is not known.
    peer.reserves.clear();
  }
  for (auto& [team, reserve] : peer.reserves) {
    reserve.until = reserve.until.value_or(aNow);
  }
  Usage& totals = peer.totals[aIncarnation];
  for (const auto& [team, total] : aUsage) {
    double& last = totals[team];
    const double taken = std::max(0.0, total - last);
    last = std::max(last, total);
    const auto found = mBuckets.find(team);
    if (found == mBuckets.end() || first) {
      continue;
    }
    Bucket& bucket = found->second;
    const double level = bucket.level + settle(peer, team, bucket) - taken;
    bucket.level = std::min(bucket.limit.burst, level);
    bucket.peerTaken += taken;
  }
  while (peer.totals.size() > kKnownProcesses) {
    peer.totals.erase(peer.totals.begin()->first == aIncarnation
                        ? std::next(peer.totals.begin())
                        : peer.totals.begin());
  }
  peer.heard = true;
  peer.silent = false;
  peer.heardAt = aNow;
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
  const bool settled = mSettled || aNow - mStarted > kSettleAfter;
  const bool hearsAll =
    std::none_of(mPeers.begin(), mPeers.end(), [](const auto& aItem) {
      return aItem.second.silent && !aItem.second.lapsedAt;
    });
  Usage levels;
  if (!settled || !hearsAll) {
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
FleetQuota::adopt(const Usage& aLevels, base::TimePoint aNow)
{
  if (aLevels.empty() || mSettled || aNow - mStarted > kSettleAfter) {
    return;
  }
  refill(aNow);
  mSettled = true;
  for (auto& [team, bucket] : mBuckets) {
    const auto known = aLevels.find(team);
    const auto used = mUsage.find(team);
    if (known != aLevels.end()) {
      const double left =
        known->second - (used == mUsage.end() ? 0 : used->second);
      bucket.level = std::max(bucket.level, left);
    }
  }
}

} // namespace marigold::quota
