#include "residency/store_load_limiter.h"

#include <algorithm>
#include <cmath>

namespace marigold::residency {
namespace {

using namespace std::chrono_literals;

/** Loads held back, because orders may take effect late. */
constexpr double kReservedLoads = 1;
/** Difference between the delays of two orders, which open a connection within
 * a data centre or across regions. A load counts for this much longer than the
 * window, because it may begin late and one ordered after it early. */
constexpr base::Duration kDeliveryJitter = 250ms;
/** Longest time between two reports of an owner. */
constexpr base::Duration kReportPeriod = 500ms;
/** Longest time from the last report of a process to the start of the VM's next
 * one that succeeds it: the term of the ownership and a report period. */
constexpr base::Duration kRestartGap = 2500ms;
/** No report that is older matters: longer than the pause between two owners
 * and the time that a process takes to start. */
constexpr base::Duration kReportLifetime = 10s;
constexpr unsigned kUnlimited = ~0U;

} // namespace

double
StoreLoadLimiter::windowCapacity() const
{
  const double rate =
    mLimit.perSecond * base::inSeconds(mLimit.window) * mLimit.overshoot;
  return std::max(1.0, std::floor(rate + mLimit.extra - kReservedLoads));
}

/** @return time for which a load counts. A VM that has not planned yet knows no
 * window, and keeps for the next owner all that it has heard. */
base::Duration
StoreLoadLimiter::countedTime() const
{
  return mLimit.window > base::Duration::zero()
           ? mLimit.window + kDeliveryJitter
           : kReportLifetime;
}

void
StoreLoadLimiter::dropExpired(base::TimePoint aNow)
{
  while (!mLoads.empty() && aNow - mLoads.front() > countedTime()) {
    mLoads.pop_front();
  }
}

void
StoreLoadLimiter::replaceLoads(const std::vector<base::Duration>& aAges,
                               base::TimePoint aNow)
{
  setLoads(aAges, aNow);
  mHeardAt = aNow;
  mReportedAt = aNow;
}

void
StoreLoadLimiter::setLoads(const std::vector<base::Duration>& aAges,
                           base::TimePoint aNow)
{
  mLoads.clear();
  for (const base::Duration age : aAges) {
    mLoads.push_back(aNow - age);
  }
  std::sort(mLoads.begin(), mLoads.end());
}

void
StoreLoadLimiter::mergeReport(const std::vector<base::Duration>& aAges,
                              base::Duration aReportAge,
                              base::TimePoint aNow)
{
  const base::TimePoint reportedAt = aNow - aReportAge;
  // The owner's list gets shorter only as loads expire, so a report with fewer
  // is older than it looks: it was long on its way.
  const auto reported =
    std::count_if(aAges.begin(), aAges.end(), [this](base::Duration aAge) {
      return aAge <= countedTime();
    });
  dropExpired(aNow);
  if (reportedAt <= mReportedAt ||
      reported < static_cast<std::ptrdiff_t>(mLoads.size())) {
    return;
  }
  setLoads(aAges, aNow);
  mReportedAt = reportedAt;
  if (mUnknownUntil && isComplete(reportedAt)) {
    mUnknownUntil.reset();
  }
}

void
StoreLoadLimiter::startOwnership(base::Duration aOrderPause,
                                 FormerOwner aFormer,
                                 base::TimePoint aNow)
{
  mFormerOwner = aFormer;
  mUnknownUntil = aNow - aOrderPause;
  if (isComplete(mReportedAt)) {
    mUnknownUntil.reset();
  }
}

/** @return true if a report tells of all loads that others may have ordered */
bool
StoreLoadLimiter::isComplete(base::TimePoint aReportedAt) const
{
  const base::Duration gap =
    mFormerOwner == FormerOwner::OwnVm ? kRestartGap : kReportPeriod;
  return aReportedAt != base::TimePoint{} &&
         aReportedAt + gap >= *mUnknownUntil;
}

bool
StoreLoadLimiter::isUnknown(base::TimePoint aNow) const
{
  return mUnknownUntil && aNow - *mUnknownUntil <= countedTime();
}

std::optional<base::Duration>
StoreLoadLimiter::reportAge(base::TimePoint aNow) const
{
  if (mHeardAt == base::TimePoint{} || aNow - mHeardAt > kReportLifetime) {
    return {};
  }
  return aNow - mHeardAt;
}

unsigned
StoreLoadLimiter::available(base::TimePoint aNow)
{
  if (mLimit.perSecond <= 0) {
    return kUnlimited;
  }
  dropExpired(aNow);
  if (isUnknown(aNow)) {
    return 0;
  }
  const double remaining =
    windowCapacity() - static_cast<double>(mLoads.size());
  return remaining <= 0 ? 0 : static_cast<unsigned>(remaining);
}

std::vector<base::Duration>
StoreLoadLimiter::loadAges(base::TimePoint aNow) const
{
  std::vector<base::Duration> ages;
  if (mLimit.perSecond > 0 && isUnknown(aNow)) {
    ages.assign(static_cast<std::size_t>(windowCapacity()),
                aNow - *mUnknownUntil);
  }
  for (const base::TimePoint at : mLoads) {
    if (aNow - at <= countedTime()) {
      ages.push_back(aNow - at);
    }
  }
  return ages;
}

} // namespace marigold::residency
