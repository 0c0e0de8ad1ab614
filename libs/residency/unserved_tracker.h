/** @file Tracks how long requested models and adapters have been unserved. */
#pragma once

#include "base/base.h"
#include "catalog/model_name.h"

#include <map>

namespace marigold::residency {

struct Engine;
struct PlanInput;

/**
 * Remembers since when each model or adapter has been requested while no engine
 * held it. The planners weigh this time, so that a model that loses against
 * others in one plan gains priority in the next.
 */
class UnservedTracker
{
public:
  /**
   * Updates the unserved periods and writes them to Demand::unservedTime.
   * @param aInput input of the plan; its demand is updated
   * @param aNow time of the plan
   */
  void update(PlanInput& aInput, base::TimePoint aNow);

private:
  struct UnservedPeriod
  {
    base::TimePoint since;
    base::TimePoint lastRequestAt; ///< latest time at which requests waited
  };

  void eraseServed(const Engine& aEngine);

  std::map<catalog::ModelRef, UnservedPeriod> mPeriods;
};

} // namespace marigold::residency
