/** @file What the owner of orders announces of the engines. */
#pragma once

#include "peers/messages.h"

namespace marigold::peers {

using PlacementTable = std::map<base::UpstreamName, EnginePlacement>;

/** Announces engines that changed lately, and all of them now and then, so that
 * a large fleet's announcements stay small and a lost one does no harm. */
class PlacementAnnouncer
{
public:
  /**
   * @param aPlaces what the engines hold now
   * @param aFence fence of the ownership; the first announcement under it
   * contains all engines, because nobody uses changes without them
   * @param aNow time
   * @return the next announcement; the caller fills in who it is
   */
  PlacementUpdate nextUpdate(const PlacementTable& aPlaces,
                             std::uint64_t aFence,
                             base::TimePoint aNow);

private:
  PlacementTable mKnown;
  std::map<base::UpstreamName, base::TimePoint> mChangedAt;
  base::TimePoint mWholeAt{};
  std::uint64_t mFence = 0;
  std::uint64_t mSequence = 0;
};

} // namespace marigold::peers
