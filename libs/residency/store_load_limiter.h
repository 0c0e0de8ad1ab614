/** @file Loads from the weights store within its sliding window. */
#pragma once

#include "base/base.h"

#include <deque>
#include <vector>

namespace marigold::residency {

/** What the weights store allows to the whole fleet. */
struct StoreLoadLimit
{
  double perSecond = 0; ///< 0: unlimited
  base::Duration window{};
  double overshoot = 1; ///< factor on the rate over the window
  double extra = 0;     ///< loads that are allowed beside
};

/**
 * Counts the loads of all owners of orders. An owner tells the others the ages
 * of its loads, so that the next one does not begin with an empty window.
 */
class StoreLoadLimiter
{
public:
  /** @param aLimit limit of the weights store */
  void setLimit(const StoreLoadLimit& aLimit) { mLimit = aLimit; }

  /** This VM ordered a load. */
  void recordLoad(base::TimePoint aNow) { mLoads.push_back(aNow); }

  /** Replaces what is known by the loads that the owner reported.
   * @param aAges time since each load */
  void replaceLoads(const std::vector<base::Duration>& aAges,
                    base::TimePoint aNow);

  /**
   * This VM becomes the owner.
   * @param aQuiet time in which no other owner can have ordered a load
   */
  void startOwnership(base::Duration aQuiet, base::TimePoint aNow);

  /** @return loads that may begin now */
  unsigned available(base::TimePoint aNow);

  /** @return time since each load that still counts */
  std::vector<base::Duration> loadAges(base::TimePoint aNow) const;

private:
  double allowed() const;
  void forgetOld(base::TimePoint aNow);

  StoreLoadLimit mLimit;
  std::deque<base::TimePoint> mLoads; ///< oldest first
  base::TimePoint mReplacedAt{};
};

} // namespace marigold::residency
