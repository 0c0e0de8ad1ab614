/** @file When the next plan may be made. */
#pragma once

#include "base/base.h"

namespace marigold::residency {

/**
 * Spaces the plans of an owner of orders. A plan costs time in proportion to
 * the fleet, and the reports that ask for one come the more often the more
 * requests wait. Without a pause between plans an owner under load would do
 * nothing else.
 */
class PlanSchedule
{
public:
  /** @return time until the next plan may begin, zero if it may now */
  base::Duration delay(base::TimePoint aNow) const;

  /** @param aBegan when a plan began @param aEnded when it was done */
  void recordPlan(base::TimePoint aBegan, base::TimePoint aEnded);

private:
  base::TimePoint mNotBefore{};
};

} // namespace marigold::residency
