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
/** Spans of the history over the silence after which a peer is cut off: what is
 * known of the moment of a cut is exact to about 60 ms, under one report. */
constexpr unsigned kSpansOfSilence = 16;
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
  bool changed = false;
  for (const auto& [team, limit] : aLimits) {
    Bucket& bucket = mBuckets[team];
    changed = changed || bucket.flows.empty() || bucket.limit != limit;
    bucket.limit = limit;
    bucket.level = std::min(bucket.level, limit.burst);
  }
  if (!changed) {
    return;
  }
  // The history cannot be replayed with other limits.
  mSpans.clear();
  for (auto& [team, bucket] : mBuckets) {
    bucket.flows.clear();
  }
  beginSpan(aNow);
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
FleetQuota::addUnregistered(const std::vector<base::VmName>& aPeers,
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
FleetQuota::onPeerDraining(const base::VmName& aPeer, base::TimePoint aNow)
{
  refill(aNow);
  const auto found = mPeers.find(aPeer);
  if (found == mPeers.end()) {
    return;
  }
  forfeit(found->second, aNow);
  mPeers.erase(found);
}

std::vector<base::VmName>
FleetQuota::unregistered() const
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
FleetQuota::beginSpan(base::TimePoint aNow)
{
  mSpans.push_back({ aNow, reach(), 0 });
  for (auto& [team, bucket] : mBuckets) {
    bucket.flows.push_back({ bucket.level, 0, 0 });
  }
  while (aNow - mSpans.front().from > mSilence + kLongestGap) {
    mSpans.pop_front();
    for (auto& [team, bucket] : mBuckets) {
      bucket.flows.pop_front();
    }
  }
}

bool
FleetQuota::alone() const
{
  // Peers that never heard this VM would not see its debts.
  bool heard = false;
  for (const auto& [name, peer] : mPeers) {
    if (!peer.silent) {
      return false;
    }
    heard = heard || peer.heard;
  }
  return heard;
}

void
FleetQuota::noteSilence(base::TimePoint aNow)
{
  std::vector<Peer*> silent;
  for (auto& [name, peer] : mPeers) {
    if (!peer.silent && aNow - peer.heardAt > mSilence) {
      silent.push_back(&peer);
    }
  }
  if (silent.empty()) {
    return;
  }
  base::TimePoint latest;
  for (const Peer* peer : silent) {
    latest = std::max(latest, peer->heardAt);
  }
  split(std::move(silent), true);
  for (auto& [team, bucket] : mBuckets) {
    // Its part began then; what of this inflow was kept is not worth knowing.
    bucket.lost =
      bucket.limit.rate * shareOfOne() * base::inSeconds(aNow - latest);
  }
}

/**
 * Divides the buckets with peers that fall silent.
 * @param aPeers the peers
 * @param aCutOff whether they do not hear this VM either; otherwise they share
 * in no debt, and may still take units of the common part
 */
void
FleetQuota::split(std::vector<Peer*> aPeers, bool aCutOff)
{
  // A later split starts from what the earlier ones have left.
  std::sort(
    aPeers.begin(), aPeers.end(), [](const Peer* aOne, const Peer* aTwo) {
      return aOne->heardAt < aTwo->heardAt;
    });
  std::size_t replayed = mSpans.size();
  for (Peer* peer : aPeers) {
    const base::TimePoint at = aCutOff ? peer->heardAt : mRefilled;
    const std::size_t span = spanOf(at);
    replay(replayed, span);
    replayed = span;
    splitOff(*peer, at, span, aCutOff);
  }
  replay(replayed, mSpans.size());
}

std::size_t
FleetQuota::spanOf(base::TimePoint aAt) const
{
  std::size_t span = mSpans.size() - 1;
  while (span > 0 && mSpans[span].from > aAt) {
    --span;
  }
  return span;
}

/** Units that the common bucket held when a peer was heard last in a span. */
double
FleetQuota::poolOf(const Bucket& aBucket, std::size_t aSpan) const
{
  const Flow& flow = aBucket.flows[aSpan];
  const Span& span = mSpans[aSpan];
  const double filled = flow.level + aBucket.limit.rate * span.inflow;
  return std::min(aBucket.limit.burst * span.reach, filled) - flow.peers;
}

/** Gives a peer its part of every bucket as it was in a span, and takes what
 * this side used since then out of the part that stays. */
void
FleetQuota::splitOff(Peer& aPeer,
                     base::TimePoint aAt,
                     std::size_t aSpan,
                     bool aCutOff)
{
  const double share = shareOfOne();
  const double heard = reach() - share;
  aPeer.silent = true;
  const double part = share / std::max(mSpans[aSpan].reach, share + share);
  const double stillHeard = std::max(0.0, heard - share) / heard;
  for (auto& [team, bucket] : mBuckets) {
    // What a cut-off peer takes comes from its own part.
    bucket.peerRate *= aCutOff ? stillHeard : 1;
    const double pool = poolOf(bucket, aSpan);
    Reserve& reserve = aPeer.reserves[team];
    // A peer that falls silent again before it has reported the team still has
    // its part of the time before, so it needs only what is missing to a share.
    const double before = partOf(reserve, bucket.limit);
    const double held = std::min(bucket.limit.burst * share, before);
    const double least = aCutOff ? std::min(0.0, pool * part) : 0;
    const double charge = std::max(least, pool * part - held * (1 - part));
    reserve.level = before + charge;
    reserve.since = aAt;
    reserve.until.reset();
    bucket.flows[aSpan].level = pool - charge;
    bucket.flows[aSpan].peers = 0;
  }
  mSpans[aSpan].inflow = 0;
  for (std::size_t index = aSpan; index < mSpans.size(); ++index) {
    Span& span = mSpans[index];
    const base::TimePoint end =
      index + 1 < mSpans.size() ? mSpans[index + 1].from : mRefilled;
    const double seconds = base::inSeconds(end - span.from);
    span.reach = std::max(span.reach - share, share);
    if (index > aSpan) {
      span.inflow = std::max(span.inflow - seconds * share, seconds * share);
    }
  }
}

/** Derives the levels after some spans from the level before them. */
void
FleetQuota::replay(std::size_t aFirst, std::size_t aEnd)
{
  for (auto& [team, bucket] : mBuckets) {
    for (std::size_t index = aFirst; index < aEnd; ++index) {
      const double left = poolOf(bucket, index) - bucket.flows[index].own;
      const double after =
        std::min(left, bucket.limit.burst * mSpans[index].reach);
      const bool last = index + 1 == mSpans.size();
      (last ? bucket.level : bucket.flows[index + 1].level) = after;
    }
  }
}

/** @return units of the peer's part when it was heard again, if it took none */
double
FleetQuota::partOf(const Reserve& aReserve, const Limit& aLimit) const
{
  if (aReserve.since == base::TimePoint{}) {
    return 0;
  }
  const base::TimePoint until = aReserve.until.value_or(aReserve.since);
  return aReserve.level +
         aLimit.rate * shareOfOne() * base::inSeconds(until - aReserve.since);
}

/** @return what a report adds to the bucket */
double
FleetQuota::settle(Peer& aPeer,
                   const base::TeamName& aTeam,
                   const Bucket& aBucket,
                   double aTaken) const
{
  const auto found = aPeer.reserves.find(aTeam);
  if (found == aPeer.reserves.end()) {
    return -aTaken;
  }
  const double part = partOf(found->second, aBucket.limit);
  aPeer.reserves.erase(found);
  // The peer's own bucket was capped, perhaps before it took the units.
  const double capped = std::min(part, aBucket.limit.burst * shareOfOne());
  return std::min(part - aTaken, std::max(0.0, capped - aTaken));
}

/** Gives up what a peer had for itself; its debts stay with this side. */
void
FleetQuota::forfeit(Peer& aPeer, base::TimePoint aNow)
{
  for (auto& [team, reserve] : aPeer.reserves) {
    const auto found = mBuckets.find(team);
    if (found == mBuckets.end()) {
      continue;
    }
    reserve.until = reserve.until.value_or(aNow);
    const double debt = std::max(0.0, -partOf(reserve, found->second.limit));
    found->second.level -= debt;
    found->second.flows.back().peers += debt;
  }
  aPeer.reserves.clear();
}

void
FleetQuota::refill(base::TimePoint aNow)
{
  if (mRefilled == base::TimePoint{}) {
    mRefilled = aNow;
    mStarted = aNow;
    beginSpan(aNow);
  }
  const base::Duration passed = aNow - mRefilled;
  if (passed <= base::Duration::zero()) {
    return;
  }
  const bool paused = passed > kLongestGap;
  if (paused) {
    // What the peers took meanwhile is not known; they do not lack this VM, so
    // its debts stay its own.
    beginSpan(mRefilled);
    std::vector<Peer*> heard;
    for (auto& [name, peer] : mPeers) {
      if (!peer.silent) {
        heard.push_back(&peer);
      }
    }
    split(std::move(heard), false);
  }
  mRefilled = aNow;
  const double share = reach();
  const double seconds = base::inSeconds(passed);
  mSpans.back().reach = share;
  mSpans.back().inflow += share * seconds;
  const bool isolated = alone();
  for (auto& [team, bucket] : mBuckets) {
    // Every side of a partition keeps its share of the burst only, or each
    // could spend all of it.
    const double inflow = bucket.limit.rate * share * seconds;
    const double filled = bucket.level + inflow;
    bucket.level = std::min(bucket.limit.burst * share, filled);
    const double lost = std::min(inflow, filled - bucket.level);
    const double most = bucket.limit.rate * share * base::inSeconds(mWindow);
    bucket.spare =
      isolated && !paused ? std::min(most, bucket.spare + lost) : 0;
    bucket.lost = isolated ? bucket.lost + lost : 0;
  }
  noteSilence(aNow);
  if (aNow - mSpans.back().from >= mSilence / kSpansOfSilence) {
    beginSpan(aNow);
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
  if (bucket.level < needed && !borrow(aTeam, bucket, aCost)) {
    const double missing = needed - bucket.level;
    const auto wait = base::fromSeconds(missing / bucket.limit.rate);
    return { false, std::max(wait, kLeastRetryAfter) };
  }
  bucket.level -= aCost;
  bucket.flows.back().own += aCost;
  bucket.spare = aCost > 0 ? 0 : bucket.spare;
  mUsage[aTeam] += aCost;
  return {};
}

/** Peers assume that this VM's part kept all its inflow. What it lost counts as
 * taken, so that the debt is what they find missing. */
bool
FleetQuota::borrow(const base::TeamName& aTeam, Bucket& aBucket, double aCost)
{
  if (aBucket.spare <= 0 || aCost > aBucket.level + aBucket.spare) {
    return false;
  }
  mUsage[aTeam] += aBucket.lost;
  aBucket.lost = 0;
  return true;
}

void
FleetQuota::refund(const base::TeamName& aTeam, double aCost)
{
  // Usage that peers already saw cannot be taken back, so the refund stays in
  // this VM's copy only.
  const auto found = mBuckets.find(aTeam);
  if (found == mBuckets.end()) {
    return;
  }
  Bucket& bucket = found->second;
  const double level = std::min(bucket.limit.burst, bucket.level + aCost);
  bucket.flows.back().own -= level - bucket.level;
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
  const bool returns = peer.silent;
  const bool first = !peer.heard && peer.totals.empty();
  if (!peer.totals.contains(aIncarnation)) {
    // What its process before used in the end is not known.
    forfeit(peer, aNow);
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
    // What a peer took while it was silent says nothing about its rate now.
    bucket.peerTaken += peer.reserves.contains(team) ? 0 : taken;
    const double gain = settle(peer, team, bucket, taken);
    const double level = std::min(bucket.limit.burst, bucket.level + gain);
    bucket.flows.back().peers -= level - bucket.level;
    bucket.level = level;
  }
  while (peer.totals.size() > kKnownProcesses) {
    peer.totals.erase(peer.totals.begin()->first == aIncarnation
                        ? std::next(peer.totals.begin())
                        : peer.totals.begin());
  }
  peer.heard = true;
  peer.silent = false;
  peer.heardAt = aNow;
  if (returns) {
    mSpans.back().reach = reach();
    for (auto& [team, bucket] : mBuckets) {
      bucket.spare = 0;
      bucket.lost = 0;
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
FleetQuota::adoptLevels(const Usage& aLevels, base::TimePoint aNow)
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
      const double level = std::max(bucket.level, left);
      bucket.flows.back().peers -= level - bucket.level;
      bucket.level = level;
    }
  }
}

} // namespace marigold::quota
