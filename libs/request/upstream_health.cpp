#include "request/upstream_health.h"

#include <algorithm>

namespace marigold::request {

bool
UpstreamHealth::usable(base::TimePoint aNow) const
{
  return !ejected(aNow);
}

void
UpstreamHealth::onSent(base::TimePoint aNow)
{
  if (mFailures >= kFailuresToEject) {
    // Keeps others away until the outcome of this trial is known.
    mEjectedUntil = std::max(mEjectedUntil, aNow + kFirstBackOff);
  }
}

void
UpstreamHealth::onConnected()
{
  mFailures = 0;
  mEjectedUntil = {};
}

void
UpstreamHealth::onFailure(base::TimePoint aNow)
{
  ++mFailures;
  if (mFailures < kFailuresToEject) {
    return;
  }
  const int doublings =
    std::min(mFailures - kFailuresToEject, kMostBackOffDoublings);
  mEjectedUntil = aNow + kFirstBackOff * (1 << doublings);
}

} // namespace marigold::request
