#include "peers/peers.h"

#include <algorithm>

namespace marigold::peers {
namespace {

using namespace std::chrono_literals;

/** An engine reads a prompt in about this time, so older figures of its load
 * would mislead. */
constexpr base::Duration kNearPeriod = 100ms;
/** Requests rarely leave their region; quotas and adapters bear this delay. */
constexpr base::Duration kFarPeriod = 400ms;
/** Peers up to which the periods hold; they grow in proportion beyond. */
constexpr double kNearPeers = 8;
constexpr double kFarPeers = 16;
/** A timer that fires a little early still counts. */
constexpr base::Duration kTimerSlack = 10ms;

base::Duration
scaled(base::Duration aPeriod, std::size_t aPeers, double aWithout)
{
  const double factor = std::max(1.0, static_cast<double>(aPeers) / aWithout);
  return base::fromSeconds(base::inSeconds(aPeriod) * factor);
}

} // namespace

void
ReportSchedule::setFleet(std::size_t aNear, std::size_t aFar)
{
  mNear = scaled(kNearPeriod, aNear, kNearPeers);
  mFar = std::max(mNear, scaled(kFarPeriod, aFar, kFarPeers));
}

bool
ReportSchedule::due(base::TimePoint& aSent,
                    base::Duration aPeriod,
                    base::TimePoint aNow)
{
  if (aNow - aSent + kTimerSlack < aPeriod) {
    return false;
  }
  aSent = aNow;
  return true;
}

} // namespace marigold::peers
