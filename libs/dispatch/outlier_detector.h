/** @file Which upstreams to avoid after failures. */
#pragma once

#include "base/base.h"

#include <map>

namespace marigold::dispatch {

/**
 * Judges upstreams by the outcomes of real requests, because health checks are
 * dear and can pass while requests fail.
 */
class OutlierDetector
{
public:
  /** An answer of its own came back in time. */
  void onSuccess(const base::UpstreamName& aName, base::TimePoint aNow);

  /** A connection could not be set up. */
  void onUnreachable(const base::UpstreamName& aName, base::TimePoint aNow);

  /** A sent request failed, hung or brought a spoiled answer. */
  void onFailure(const base::UpstreamName& aName, base::TimePoint aNow);

  /** @return true while the upstream gets no requests if others can */
  bool ejected(const base::UpstreamName& aName, base::TimePoint aNow) const;

  /** @return part of recent requests that failed, 0 to 1 */
  double failureRate(const base::UpstreamName& aName) const;

  /** Drops what is known, because another process has the name now. */
  void erase(const base::UpstreamName& aName) { mStates.erase(aName); }

private:
  struct State
  {
    double failureRate = 0;
    unsigned unreachableInARow = 0;
    unsigned ejections = 0;
    base::TimePoint ejectedUntil{};
  };
  void eject(State& aState, base::TimePoint aNow);

  std::map<base::UpstreamName, State> mStates;
};

} // namespace marigold::dispatch
