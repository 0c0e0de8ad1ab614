/** @file Placement announcements of the order owner. */
#pragma once

#include "peers/messages.h"

namespace marigold::peers {

using PlacementTable = std::map<base::UpstreamName, EnginePlacement>;

/** Builds announcements of recently changed engines, and periodically of all
 * engines. Announcements stay small in a large fleet, and a lost one is
 * compensated by the next full one. */
class PlacementAnnouncer
{
public:
  /**
   * @param aPlacements current placements
   * @param aFencingToken token of the ownership; the first announcement under a
   * new token contains all engines, because receivers apply changes only to a
   * complete state
   * @param aNow time
   * @return the next announcement, without the owner and the load ages, which
   * the caller fills in
   */
  PlacementUpdate nextUpdate(const PlacementTable& aPlacements,
                             std::uint64_t aFencingToken,
                             base::TimePoint aNow);

private:
  PlacementTable mAnnounced;
  std::map<base::UpstreamName, base::TimePoint> mChangedAt;
  base::TimePoint mLastCompleteAt{};
  std::uint64_t mFencingToken = 0;
  std::uint64_t mSequence = 0;
};

} // namespace marigold::peers
