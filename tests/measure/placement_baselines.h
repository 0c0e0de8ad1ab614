/** @file Simple ways to place models, to which the planners of the residency
 * library are compared. */
#pragma once

#include "residency/residency.h"

#include <map>
#include <memory>
#include <string_view>
#include <vector>

namespace marigold::residency::measure {

/** Requests that have arrived since the last plan. */
using Requests = std::map<catalog::ModelRef, double>;

/** Decides which orders the engines get next. */
class Planner
{
public:
  virtual ~Planner() = default;

  /**
   * @param aInput engines, demand and limits
   * @param aRequests by model and adapter; those for an adapter count for its
   * model too
   * @param aNow time
   * @return at most one order per engine
   */
  virtual std::vector<PlannedOrder> plan(const PlanInput& aInput,
                                         const Requests& aRequests,
                                         base::TimePoint aNow) = 0;
};

/** @param aName marigold (the planners of the library), static or lru
 * @return the planner */
std::unique_ptr<Planner>
makePlanner(std::string_view aName);

} // namespace marigold::residency::measure
