#include "peers/report_schedule.h"

#include <algorithm>

namespace marigold::peers {
namespace {

using namespace std::chrono_literals;

/** An engine reads a prompt in about this time, so older figures of its load
 * would mislead. */
constexpr base::Duration kNearPeriod = 100ms;
/** Requests rarely leave their region; quotas and adapters bear this delay. */
constexpr base::Duration kFarPeriod = 200ms;
/** Peers and data centres up to which the periods hold; they grow in proportion
 * beyond, which bounds the messages of a VM. */
constexpr double kPeers = 8;
constexpr double kDataCentres = 3;
/** A timer that fires a little early still counts. */
constexpr base::Duration kTimerSlack = 10ms;

base::Duration
scaled(base::Duration aPeriod, std::size_t aCount, double aWithout)
{
  const double factor = std::max(1.0, static_cast<double>(aCount) / aWithout);
  return base::fromSeconds(base::inSeconds(aPeriod) * factor);
}

} // namespace

bool
PeriodicTimer::fireIfDue(base::TimePoint aNow)
{
  if (aNow - mLast + kTimerSlack < mPeriod) {
    return false;
  }
  mLast = aNow;
  return true;
}

ReportSchedule::ReportSchedule()
  : mStatusPeriod(kNearPeriod)
  , mOwnerPeriod(kNearPeriod)
  , mFar(kFarPeriod)
{
}

void
ReportSchedule::setFleetSize(std::size_t aPeers,
                             std::size_t aDataCentres,
                             std::size_t aVms)
{
  mStatusPeriod = scaled(kNearPeriod, aPeers, kPeers);
  mOwnerPeriod = scaled(kNearPeriod, aVms, kPeers);
  mFar.setPeriod(
    std::max(mStatusPeriod, scaled(kFarPeriod, aDataCentres, kDataCentres)));
}

} // namespace marigold::peers
