#include "peers/report_schedule.h"

#include <algorithm>

namespace marigold::peers {
namespace {

using namespace std::chrono_literals;

/** Period within a region: about the time in which an engine processes a
 * prompt. Older load figures would mislead the choice of an upstream. */
constexpr base::Duration kSameRegionPeriod = 100ms;
/** Period between regions. Requests rarely leave their region; quotas and
 * adapters tolerate this delay. */
constexpr base::Duration kOtherRegionPeriod = 200ms;
/** Numbers of peers and data centres up to which the periods stay unscaled.
 * Beyond, they grow proportionally, which bounds the message rate of a VM. */
constexpr double kUnscaledPeers = 8;
constexpr double kUnscaledDataCentres = 3;
/** Tolerance for timers that fire early. */
constexpr base::Duration kTimerTolerance = 10ms;

base::Duration
scaledPeriod(base::Duration aPeriod, std::size_t aCount, double aUnscaledCount)
{
  const double factor =
    std::max(1.0, static_cast<double>(aCount) / aUnscaledCount);
  return base::fromSeconds(base::inSeconds(aPeriod) * factor);
}

} // namespace

bool
PeriodicTimer::fireIfDue(base::TimePoint aNow)
{
  if (aNow - mLastRunAt + kTimerTolerance < mPeriod) {
    return false;
  }
  mLastRunAt = aNow;
  return true;
}

ReportSchedule::ReportSchedule()
  : mStatusPeriod(kSameRegionPeriod)
  , mOwnerPeriod(kSameRegionPeriod)
  , mRemoteRegions(kOtherRegionPeriod)
{
}

void
ReportSchedule::setFleetSize(std::size_t aPeers,
                             std::size_t aDataCentres,
                             std::size_t aVms)
{
  mStatusPeriod = scaledPeriod(kSameRegionPeriod, aPeers, kUnscaledPeers);
  mOwnerPeriod = scaledPeriod(kSameRegionPeriod, aVms, kUnscaledPeers);
  mRemoteRegions.setPeriod(std::max(
    mStatusPeriod,
    scaledPeriod(kOtherRegionPeriod, aDataCentres, kUnscaledDataCentres)));
}

} // namespace marigold::peers
