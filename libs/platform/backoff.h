/** @file Growing delays between failed calls. */
#pragma once

#include "base/base.h"

namespace marigold::platform {

/**
 * Exponential backoff with jitter. Without jitter, all VMs that lost the store
 * in an outage would call it at the same moments.
 */
class Backoff
{
public:
  /** @param aInitial longest first delay @param aMax longest delay
   * @param aSeed seed of the jitter */
  Backoff(base::Duration aInitial, base::Duration aMax, std::uint64_t aSeed)
    : mInitial(aInitial)
    , mMax(aMax)
    , mRandom(aSeed)
  {
  }

  /** @param aMax longest delay from now on */
  void setMax(base::Duration aMax) { mMax = aMax; }

  /** @return delay before the next call, between half of the limit of this
   * failure and the limit, which doubles with each failure */
  base::Duration next();

  /** @param aLimit longest delay
   * @return a random delay up to it */
  base::Duration jittered(base::Duration aLimit)
  {
    return base::fromSeconds(base::inSeconds(aLimit) * mRandom.unit());
  }

  /** Starts over after a successful call. */
  void reset() { mFailures = 0; }

  /** @return failed calls since the last success */
  unsigned failures() const { return mFailures; }

private:
  base::Duration mInitial;
  base::Duration mMax;
  base::Random mRandom;
  unsigned mFailures = 0;
};

} // namespace marigold::platform
