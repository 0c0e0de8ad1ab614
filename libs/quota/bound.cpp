#include "quota/quota.h"

#include <algorithm>

namespace marigold::quota {
namespace {

/** Part of the rate that is divided evenly between the VMs, whatever they have
 * consumed, so that none is without a part. */
constexpr double kEvenPart = 0.2;

} // namespace

/** @return units that the fleet may admit in a window */
double
FleetQuota::allowedUnits(const Limit& aLimit) const
{
  return (aLimit.rate * base::inSeconds(mWindow) + aLimit.burst) *
           (1 + mOvershoot) +
         mSlack;
}

/** A silent peer may be cut off, and take its share of what was left when it
 * was heard last. The share grows as older consumption leaves the window.
 * @return units that silent peers may take */
double
FleetQuota::unitsForSilentPeers(const Bucket& aBucket) const
{
  const double allowed = allowedUnits(aBucket.limit);
  double units = 0;
  for (const base::TimePoint heardAt : mSilentSince) {
    const double known = aBucket.used.knownToPeer(heardAt, mReportDelay);
    units += std::max(0.0, allowed - known);
  }
  return units * shareOfOneVm();
}

/** @return this VM's part of what the fleet consumes; the parts of all VMs add
 * up to about one */
double
FleetQuota::partOfDemand(const Bucket& aBucket) const
{
  const double even = kEvenPart * aBucket.limit.rate * base::inSeconds(mWindow);
  return (std::max(0.0, aBucket.used.own()) + even * shareOfOneVm()) /
         (std::max(0.0, aBucket.used.total()) + even);
}

/** All VMs take what a bucket that is above zero holds until they hear of each
 * other. That is made up for by the debt that it leaves, unless the units of
 * one window exceed the limit. So once another such moment could exceed it,
 * each VM takes only its part of what is left.
 * @return units by which a request of the mean cost exceeds this VM's part */
double
FleetQuota::unitsBeyondPart(const Bucket& aBucket) const
{
  if (mWindow == base::Duration::zero() || isIsolated()) {
    return 0;
  }
  const UsageWindow& used = aBucket.used;
  const double left =
    allowedUnits(aBucket.limit) - used.total() - unitsForSilentPeers(aBucket);
  // A VM that hears nobody may be heard by nobody.
  const base::TimePoint heardAt = std::min(mRefilledAt, mHeardAt);
  const bool hearsPeers = mRefilledAt - heardAt <= mReportDelay;
  if (hearsPeers && used.mostWithin(mReportDelay) <= left) {
    return 0;
  }
  const double unknown = used.ownSince(heardAt - mReportDelay);
  // What is left is all its own if the shares of all peers are set aside.
  const double part =
    (hearsPeers ? partOfDemand(aBucket) : 1) * std::max(0.0, left + unknown);
  // A VM that has taken none may take a request, however small its part.
  return unknown > 0 ? std::max(0.0, unknown + aBucket.meanCost - part) : 0;
}

} // namespace marigold::quota
