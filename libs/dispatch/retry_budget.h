/** @file Limit on the retries to a service. */
#pragma once

#include "base/base.h"

#include <deque>
#include <map>
#include <string>

namespace marigold::dispatch {

/** Retry limits of the whole fleet over a sliding window. */
struct RetryLimits
{
  double ratio = 0.1;     ///< retries per request
  double minRetries = 10; ///< retries allowed regardless of the ratio
  base::Duration window = std::chrono::seconds(10);
};

/**
 * Limits retries on each VM to its share of the fleet's budget: the ratio of
 * the VM's own requests plus an equal part of minRetries. The sum over all VMs
 * keeps the limit without coordination. A process does not know what one that
 * ran on its VM before has used, so in its first window it has a small part of
 * minRetries only, beside the ratio of the requests that it has received
 * itself.
 */
class RetryBudget
{
public:
  /** @param aLimits limits of the fleet */
  void setLimits(const RetryLimits& aLimits) { mLimits = aLimits; }

  /** @param aVms VMs that share minRetries */
  void setFleetSize(std::size_t aVms) { mVms = aVms; }

  /** @param aAt when this process began to take requests */
  void setStart(base::TimePoint aAt) { mStartedAt = aAt; }

  /** Records a caller's request to a service. */
  void onRequest(const std::string& aService, base::TimePoint aNow);

  /** Consumes a retry from the budget.
   * @return true if the retry is allowed */
  bool tryConsume(const std::string& aService, base::TimePoint aNow);

private:
  struct Window
  {
    std::deque<base::TimePoint> requests;
    std::deque<base::TimePoint> retries;
  };
  void dropExpired(Window& aWindow, base::TimePoint aNow) const;

  RetryLimits mLimits;
  std::size_t mVms = 1;
  base::TimePoint mStartedAt = base::TimePoint::min();
  std::map<std::string, Window> mWindows;
};

} // namespace marigold::dispatch
