/** @file Statistics of the plans of the owner of orders. */
#pragma once

#include "observe/metrics.h"
#include "residency/residency.h"

namespace marigold::gateway {

/** Counts plans, measures their duration, and logs a summary once a second. */
class PlanStatistics
{
public:
  explicit PlanStatistics(observe::Metrics& aMetrics);

  /**
   * @param aSituation input of the plan
   * @param aOrderCount number of orders in the plan
   * @param aDuration duration of the planning
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
