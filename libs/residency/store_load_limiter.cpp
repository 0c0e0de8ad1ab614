#include "residency/store_load_limiter.h"

#include <algorithm>
#include <cmath>

namespace marigold::residency {
namespace {

using namespace std::chrono_literals;

/** Loads kept back for orders that take effect late. */
constexpr double kSpareLoads = 1;
/** Reports of an owner come at least this often. */
constexpr base::Duration kReportPeriod = 500ms;
constexpr unsigned kUnlimited = ~0U;

} // namespace

double
StoreLoadLimiter::allowed() const
{
  const double rate =
    mLimit.perSecond * base::inSeconds(mLimit.window) * mLimit.overshoot;
  return std::max(1.0, std::floor(rate + mLimit.extra - kSpareLoads));
}

void
StoreLoadLimiter::forgetOld(base::TimePoint aNow)
{
  while (!mLoads.empty() && aNow - mLoads.front() > mLimit.window) {
    mLoads.pop_front();
  }
}

void
StoreLoadLimiter::replaceLoads(const std::vector<base::Duration>& aAges,
                               base::TimePoint aNow)
{
  mReplacedAt = aNow;
  mLoads.clear();
  for (const base::Duration age : aAges) {
    mLoads.push_back(aNow - age);
  }
  std::sort(mLoads.begin(), mLoads.end());
}

void
StoreLoadLimiter::startOwnership(base::Duration aQuiet, base::TimePoint aNow)
{
  const base::TimePoint quietSince = aNow - aQuiet;
  if (mReplacedAt + kReportPeriod >= quietSince || mLimit.perSecond <= 0) {
    return;
  }
  // The owner before may have used the whole window since it was last heard.
  mLoads.assign(static_cast<std::size_t>(allowed()), quietSince);
}

unsigned
StoreLoadLimiter::available(base::TimePoint aNow)
{
  if (mLimit.perSecond <= 0) {
    return kUnlimited;
  }
  forgetOld(aNow);
  const double left = allowed() - static_cast<double>(mLoads.size());
  return left <= 0 ? 0 : static_cast<unsigned>(left);
}

std::vector<base::Duration>
StoreLoadLimiter::loadAges(base::TimePoint aNow) const
{
  std::vector<base::Duration> ages;
  for (const base::TimePoint at : mLoads) {
    if (aNow - at <= mLimit.window) {
      ages.push_back(aNow - at);
    }
  }
  return ages;
}

} // namespace marigold::residency
