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
constexpr unsigned kUnlimited = ~0U;

} // namespace

double
StoreLoadLimiter::windowCapacity() const
{
  const double rate =
    mLimit.perSecond * base::inSeconds(mLimit.window) * mLimit.overshoot;
  return std::max(1.0, std::floor(rate + mLimit.extra - kReservedLoads));
}

void
StoreLoadLimiter::dropExpired(base::TimePoint aNow)
{
  while (!mLoads.empty() &&
         aNow - mLoads.front() > mLimit.window + kDeliveryJitter) {
    mLoads.pop_front();
  }
}

void
StoreLoadLimiter::replaceLoads(const std::vector<base::Duration>& aAges,
                               base::TimePoint aNow)
{
  mReportedAt = aNow;
  mLoads.clear();
  for (const base::Duration age : aAges) {
    mLoads.push_back(aNow - age);
  }
  std::sort(mLoads.begin(), mLoads.end());
}

void
StoreLoadLimiter::startOwnership(base::Duration aOrderPause,
                                 base::TimePoint aNow)
{
  const base::TimePoint pauseStart = aNow - aOrderPause;
  if (mReportedAt + kReportPeriod >= pauseStart || mLimit.perSecond <= 0) {
    return;
  }
  // The previous owner may have used the whole window since its last report.
  mLoads.assign(static_cast<std::size_t>(windowCapacity()), pauseStart);
}

unsigned
StoreLoadLimiter::available(base::TimePoint aNow)
{
  if (mLimit.perSecond <= 0) {
    return kUnlimited;
  }
  dropExpired(aNow);
  const double remaining =
    windowCapacity() - static_cast<double>(mLoads.size());
  return remaining <= 0 ? 0 : static_cast<unsigned>(remaining);
}

std::vector<base::Duration>
StoreLoadLimiter::loadAges(base::TimePoint aNow) const
{
  std::vector<base::Duration> ages;
  for (const base::TimePoint at : mLoads) {
    if (aNow - at <= mLimit.window + kDeliveryJitter) {
      ages.push_back(aNow - at);
    }
  }
  return ages;
}

} // namespace marigold::residency
