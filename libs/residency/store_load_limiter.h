/** @file Sliding-window rate limit for loads from the weights store. */
#pragma once

#include "base/base.h"

#include <deque>
#include <vector>

namespace marigold::residency {

/** Limit of the weights store on the loads of the whole fleet. */
struct StoreLoadLimit
{
  double perSecond = 0;    ///< loads per second; 0: unlimited
  base::Duration window{}; ///< length of the sliding window
  double overshoot = 1;    ///< factor on the rate over the window
  double extra = 0;        ///< loads allowed per window in addition to the rate
};

/**
 * Counts the loads from the weights store in a sliding window. The VM that owns
 * the orders reports the ages of its loads to the others, so that the next
 * owner does not start with an empty window and exceed the limit.
 */
class StoreLoadLimiter
{
public:
  /** @param aLimit limit of the weights store */
  void setLimit(const StoreLoadLimit& aLimit) { mLimit = aLimit; }

  /** Records that this VM ordered a load. */
  void recordLoad(base::TimePoint aNow) { mLoads.push_back(aNow); }

  /** Replaces the recorded loads with those that the owner reported.
   * @param aAges time since each load @param aNow time of the report */
  void replaceLoads(const std::vector<base::Duration>& aAges,
                    base::TimePoint aNow);

  /**
   * Prepares for ownership of the orders by this VM. If the last report is too
   * old to include all loads of the previous owner, the window counts as full.
   * @param aOrderPause time for which no other VM can have ordered a load
   * @param aNow time at which the ownership starts
   */
  void startOwnership(base::Duration aOrderPause, base::TimePoint aNow);

  /** @return loads that may start now */
  unsigned available(base::TimePoint aNow);

  /** @return time since each load in the window */
  std::vector<base::Duration> loadAges(base::TimePoint aNow) const;

private:
  double windowCapacity() const;
  void dropExpired(base::TimePoint aNow);

  StoreLoadLimit mLimit;
  std::deque<base::TimePoint> mLoads; ///< oldest first
  base::TimePoint mReportedAt{};      ///< time of the owner's last report
};

} // namespace marigold::residency
