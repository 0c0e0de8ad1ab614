/** @file What the plans of the owner of orders took and found. */
#pragma once

#include "observe/metrics.h"
#include "residency/residency.h"

namespace marigold::gateway {

/** Counts and times plans, and logs a line about them once a second. */
class PlanStatistics
{
public:
  explicit PlanStatistics(observe::Metrics& aMetrics);

  /**
   * @param aSituation what was recordPlan for
   * @param aOrderCount orders that the plan found
   * @param aDuration time that it took
   * @param aNow time
   */
  void recordPlan(const residency::PlanInput& aSituation,
                  std::size_t aOrderCount,
                  base::Duration aDuration,
                  base::TimePoint aNow);

private:
  prometheus::Histogram& mPlanDurations;
  base::TimePoint mLoggedAt{};
  unsigned mPlans = 0;
  std::size_t mOrderCount = 0;
  base::Duration mTotalDuration{};
};

} // namespace marigold::gateway
