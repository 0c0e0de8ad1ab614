/** @file Ejection of failing upstreams (outlier detection). */
#pragma once

#include "base/base.h"

#include <map>

namespace marigold::dispatch {

/**
 * Ejects upstreams by the outcomes of real requests, because health checks are
 * expensive and can pass while requests fail.
 */
class OutlierDetector
{
public:
  /** Records a valid answer that arrived in time. */
  void onSuccess(const base::UpstreamName& aName, base::TimePoint aNow);

  /** Records that a connection could not be established. */
  void onUnreachable(const base::UpstreamName& aName, base::TimePoint aNow);

  /** Records a request that failed, timed out or got an invalid answer. */
  void onFailure(const base::UpstreamName& aName, base::TimePoint aNow);

  /** @return true while the upstream is avoided if others are available */
  bool ejected(const base::UpstreamName& aName, base::TimePoint aNow) const;

  /** @return fraction of recent requests that failed, 0 to 1 */
  double failureRate(const base::UpstreamName& aName) const;

  /** Resets the state of a name that another process now has. */
  void erase(const base::UpstreamName& aName) { mStates.erase(aName); }

  /** Resets the state of all upstreams, whose failures were not their own. */
  void eraseAll() { mStates.clear(); }

private:
  struct State
  {
    double failureRate = 0; ///< moving average
    unsigned consecutiveUnreachable = 0;
    unsigned ejections = 0; ///< since the failure rate was last low
    base::TimePoint ejectedUntil{};
  };
  void eject(State& aState, base::TimePoint aNow);

  std::map<base::UpstreamName, State> mStates;
};

} // namespace marigold::dispatch
