/** @file What the plans of the owner of orders took and found. */
#pragma once

#include "observe/metrics.h"
#include "residency/residency.h"

namespace marigold::gateway {

/** Counts and times plans, and logs a line about them once a second. */
class PlanReport
{
public:
  explicit PlanReport(observe::Metrics& aMetrics);

  /**
   * @param aSituation what was planned for
   * @param aSteps orders that the plan found
   * @param aTaken time that it took
   * @param aNow time
   */
  void planned(const residency::PlanInput& aSituation,
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
