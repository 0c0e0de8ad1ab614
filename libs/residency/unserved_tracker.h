/** @file How long models and adapters have been asked for without a place. */
#pragma once

#include "base/base.h"
#include "catalog/model_name.h"

#include <map>

namespace marigold::residency {

struct Engine;
struct PlanInput;

/**
 * Remembers since when each model or adapter is asked for while no engine holds
 * it. One that loses against others in one plan gains by it in the next.
 */
class UnservedTracker
{
public:
  /**
   * @param aSituation gets Demand::unserved of its models and adapters
   * @param aNow time of the plan
   */
  void update(PlanInput& aSituation, base::TimePoint aNow);

private:
  struct Absence
  {
    base::TimePoint since;
    base::TimePoint askedAt; ///< requests waited for it last then
  };

  void eraseHeld(const Engine& aEngine);

  std::map<catalog::ModelRef, Absence> mAbsences;
};

} // namespace marigold::residency
