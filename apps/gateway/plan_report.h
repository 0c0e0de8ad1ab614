/** @file Statistics of the plans of the owner of orders. */
#pragma once

#include "observe/metrics.h"
#include "residency/residency.h"

namespace marigold::gateway {

/** Counts plans, measures their duration, and logs a summary once a second. */
class PlanReport
{
public:
  explicit PlanReport(observe::Metrics& aMetrics);

  /**
   * @param aSituation input of the plan
   * @param aSteps number of orders in the plan
   * @param aTaken duration of the planning
   * @param aNow time
   */
  void planned(const residency::Situation& aSituation,
               std::size_t aSteps,
               base::Duration aTaken,
               base::TimePoint aNow);

private:
  prometheus::Histogram& mTimes;
  base::TimePoint mLoggedAt{};
  unsigned mPlans = 0;
  std::size_t mSteps = 0;
  base::Duration mTaken{};
};

} // namespace marigold::gateway
