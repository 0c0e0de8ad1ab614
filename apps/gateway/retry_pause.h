/** @file The pause behind failed calls. */
#pragma once

#include "platform/backoff.h"

namespace marigold::gateway {

/** Tells when a call may be tried again. The pause grows with each failure. */
class RetryPause
{
public:
  /** @param aInitial longest first pause @param aMax longest pause
   * @param aSeed seed of the jitter */
  RetryPause(base::Duration aInitial, base::Duration aMax, std::uint64_t aSeed)
    : mBackoff(aInitial, aMax, aSeed)
  {
  }

  /** @param aNow time @return true if the call may be tried */
  bool isOver(base::TimePoint aNow) const { return aNow >= mUntil; }

  /** @param aNow time at which a call failed */
  void recordFailure(base::TimePoint aNow) { mUntil = aNow + mBackoff.next(); }

  /** Ends the pause: a call succeeded, or the server is another one now. */
  void reset()
  {
    mUntil = {};
    mBackoff.reset();
  }

private:
  platform::Backoff mBackoff;
  base::TimePoint mUntil{};
};

} // namespace marigold::gateway
