/** @file Limit of repeated sends to a service. */
#pragma once

#include "base/base.h"

#include <deque>
#include <map>
#include <string>

namespace marigold::dispatch {

/** Limit over a sliding window for the whole fleet. */
struct RetryLimits
{
  double ratio = 0.1;     ///< repeats per request
  double leastExtra = 10; ///< repeats that are always allowed, fleet-wide
  base::Duration window = std::chrono::seconds(10);
};

/**
 * Each VM uses its part of the fleet's budget: the ratio of its own requests
 * and an equal part of the fixed amount, so that the sum holds without asking.
 */
class RetryBudget
{
public:
  /** @param aLimits limits of the fleet */
  void setLimits(const RetryLimits& aLimits) { mLimits = aLimits; }

  /** @param aVms VMs that share the fixed amount */
  void setFleetSize(std::size_t aVms) { mVms = aVms; }

  /** Counts a caller's request for a service. */
  void onRequest(const std::string& aService, base::TimePoint aNow);

  /** @return true if the request may be sent once more; counts it */
  bool tryConsume(const std::string& aService, base::TimePoint aNow);

private:
  struct Window
  {
    std::deque<base::TimePoint> requests;
    std::deque<base::TimePoint> repeats;
  };
  void forgetOld(Window& aWindow, base::TimePoint aNow) const;

  RetryLimits mLimits;
  std::size_t mVms = 1;
  std::map<std::string, Window> mWindows;
};

} // namespace marigold::dispatch
