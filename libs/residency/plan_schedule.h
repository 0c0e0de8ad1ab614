/** @file Minimum time between two plans. */
#pragma once

#include "base/base.h"

namespace marigold::residency {

/**
 * Limits the processor time that the owner of the orders spends on planning. A
 * plan costs time in proportion to the size of the fleet, and reports trigger
 * plans more often the more requests wait. Without a pause between plans an
 * overloaded owner would spend all its time on planning.
 */
class PlanSchedule
{
public:
  /** @return time until the next plan may start; zero if it may start now */
  base::Duration delay(base::TimePoint aNow) const;

  /** Schedules the next plan after one that ran.
   * @param aBegan start of the plan @param aEnded end of the plan */
  void recordPlan(base::TimePoint aBegan, base::TimePoint aEnded);

private:
  base::TimePoint mNextPlanAt{};
};

} // namespace marigold::residency
