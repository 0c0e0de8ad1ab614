/** @file Ejection of dead upstreams. */
#pragma once

#include "base/base.h"

namespace marigold::request {

/** Two, because one failure may be a connection that was just being closed. */
inline constexpr int kFailuresToEject = 2;
inline constexpr base::Duration kFirstBackOff = std::chrono::seconds(1);
inline constexpr int kMostBackOffDoublings = 4;

/** What failures say about one upstream. */
class UpstreamHealth
{
public:
  /** @param aNow current time @return true if it may get new work. After a
   * back-off one request at a time tries it until one has connected. */
  bool usable(base::TimePoint aNow) const;

  /** Notes that a request goes to the upstream. @param aNow current time */
  void onSent(base::TimePoint aNow);

  /** Notes a connection that worked. */
  void onConnected();

  /** @param aNow time of a failed connection */
  void onFailure(base::TimePoint aNow);

  /** @param aNow current time @return true during a back-off */
  bool ejected(base::TimePoint aNow) const { return aNow < mEjectedUntil; }

private:
  int mFailures = 0; ///< consecutive
  base::TimePoint mEjectedUntil;
};

} // namespace marigold::request
